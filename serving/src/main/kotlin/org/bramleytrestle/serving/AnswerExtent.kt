package org.bramleytrestle.serving

import kotlin.time.Duration

/**
 * How far an answer got on one server.
 *
 * @property ran time since the answer began.
 */
internal data class AnswerExtent(val events: Int, val ran: Duration) {
    /**
     * Whether an answer that got this far says that what it has in common with one that ended its
     * server at [crash] does not end servers. What does may act after some events or after some
     * time, not always at the same moment.
     */
    fun isBeyond(crash: AnswerExtent): Boolean =
        events >= crash.events * MARGIN + BEGINNING_EVENTS && ran >= crash.ran * MARGIN

    companion object {
        /** Events after which an answer is past its beginning. */
        const val BEGINNING_EVENTS = 3
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
