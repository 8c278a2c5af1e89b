package org.bramleytrestle.serving

import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How this node leaves: it stops to be named as an entry at once, still takes work while callers
 * may keep an older list, then refuses new work, and ends when nothing is in flight.
 */
public class NodeLifecycle(
    private val grace: Duration,
    private val now: () -> Moment = Moment::now
) {
    private val leavingSince = AtomicReference<Moment?>(null)

    public val leaving: Boolean get() = leavingSince.get() != null

    /** Whether a new stream, which lasts for seconds, is refused. */
    public val refusesStreams: Boolean get() = leavingFor() > STREAMS_TAKEN

    /** Whether all new work is refused. */
    public val refusesAll: Boolean get() = leavingFor() > grace - SHORT_WORK

    public fun leave() {
        leavingSince.compareAndSet(null, now())
    }

    /** Whether the process may end with [inFlight] requests left. */
    public fun mayExit(inFlight: Int): Boolean {
        val gone = leavingFor()
        return gone > grace - LAST_RESERVE || gone > LISTS_KEPT && inFlight == 0
    }

    private fun leavingFor(): Duration =
        leavingSince.get()?.let { now().since(it) } ?: Duration.ZERO

    private companion object {
        /** A stream that begins later may not end within the grace time. */
        val STREAMS_TAKEN = 2.seconds

        /** Longest time that plain requests usually take, and the reserve. */
        val SHORT_WORK = 1.seconds

        /** Three times the life of an entry list, as some callers keep lists so long. */
        val LISTS_KEPT = 6.seconds

        /** Time to end the process before it is killed. */
        val LAST_RESERVE = 300.milliseconds
    }
}
