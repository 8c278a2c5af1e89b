package org.bramleytrestle.serving

import kotlin.time.Duration

/**
 * How far an answer got on one server.
 *
 * @property ran time since the answer began.
 */
internal data class AnswerExtent(val events: Int, val ran: Duration) {
    /**
     * Whether an answer that got this far clears what it shares with an answer whose server ended
     * at [crash]. A part that ends servers acts after some events or after some time, though not
     * always at the same moment; so both have to be exceeded clearly.
     */
    fun isBeyond(crash: AnswerExtent): Boolean =
        events >= crash.events * MARGIN + BEGINNING_EVENTS && ran >= crash.ran * MARGIN

    companion object {
        /** Events after which an answer is past its beginning. */
        const val BEGINNING_EVENTS = 3

        /** How many times as far as the other one an answer has to get. */
        const val MARGIN = 2
        private const val EVENTS_PER_STEP = 8

        val NOT_BEGUN = AnswerExtent(0, Duration.ZERO)

        /** An answer that has arrived as a whole. */
        val COMPLETE = AnswerExtent(Int.MAX_VALUE, Duration.INFINITE)

        /** Whether the extent of a running answer is recorded after this number of events. */
        fun isRecordedAt(events: Int): Boolean =
            events == BEGINNING_EVENTS || events % EVENTS_PER_STEP == 0
    }
}
