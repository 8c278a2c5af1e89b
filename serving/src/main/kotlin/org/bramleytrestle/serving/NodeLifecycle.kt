package org.bramleytrestle.serving

import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Graceful shutdown of this node. A leaving node is no longer listed as an entry node, but accepts
 * requests while callers may still use an older list. Then it refuses new requests, and it exits
 * when none are in flight.
 *
 * @param grace time between the stop request and the forced end of the process.
 */
public class NodeLifecycle(
    private val grace: Duration,
    private val now: () -> Moment = Moment::now
) {
    private val leavingSince = AtomicReference<Moment?>(null)

    public val leaving: Boolean get() = leavingSince.get() != null

    /** Whether new streams, which last for seconds, are refused. */
    public val refusesStreams: Boolean get() = leavingFor() > STREAM_ACCEPT_TIME

    /** Whether all new requests are refused. */
    public val refusesAll: Boolean get() = leavingFor() > grace - REFUSE_ALL_MARGIN

    public fun leave() {
        leavingSince.compareAndSet(null, now())
    }

    /** Whether the process may exit with [inFlight] requests unfinished. */
    public fun mayExit(inFlight: Int): Boolean {
        val elapsed = leavingFor()
        return elapsed > grace - EXIT_MARGIN || elapsed > ENTRY_LIST_RETENTION && inFlight == 0
    }

    private fun leavingFor(): Duration =
        leavingSince.get()?.let { now().since(it) } ?: Duration.ZERO

    private companion object {
        /** A stream that begins later may not end within the grace time. */
        val STREAM_ACCEPT_TIME = 2.seconds

        /** Longest usual duration of a plain request plus [EXIT_MARGIN]. */
        val REFUSE_ALL_MARGIN = 1.seconds

        /** Three times the lifetime of an entry list, because some callers cache it that long. */
        val ENTRY_LIST_RETENTION = 6.seconds

        /** Time to exit before the process is killed. */
        val EXIT_MARGIN = 300.milliseconds
    }
}
