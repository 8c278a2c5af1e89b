package org.bramleytrestle.serving

import java.util.concurrent.atomic.AtomicInteger
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
    private val active = AtomicInteger()

    /** When the last request ended; null while one is in flight. */
    @Volatile
    private var idleSince: Moment? = now()

    /** Number of requests that this node has read and not answered to the end. */
    public val inFlight: Int get() = active.get()

    /** Counts a request from the moment its head has been read. */
    public fun requestStarted() {
        active.incrementAndGet()
        idleSince = null
    }

    public fun requestEnded() {
        if (active.decrementAndGet() == 0) idleSince = now()
    }

    public val leaving: Boolean get() = leavingSince.get() != null

    /**
     * Whether a request that may last for [longest] is refused, because the process may end before
     * its answer.
     */
    public fun refuses(longest: Duration): Boolean {
        val elapsed = leavingFor()
        return elapsed > ACCEPT_ALL_TIME && elapsed + longest > grace - EXIT_MARGIN - ANSWER_TIME
    }

    public fun leave() {
        leavingSince.compareAndSet(null, now())
    }

    /**
     * Whether the process may exit: it has been idle for a while after the last callers' entry
     * lists expired, or it would be killed soon.
     */
    public fun mayExit(): Boolean {
        val elapsed = leavingFor()
        if (elapsed > grace - EXIT_MARGIN) return true
        val idle = idleSince?.let { now().since(it) } ?: return false
        return elapsed > ENTRY_LIST_RETENTION && idle >= MIN_IDLE_TIME && inFlight == 0
    }

    private fun leavingFor(): Duration =
        leavingSince.get()?.let { now().since(it) } ?: Duration.ZERO

    private companion object {
        /** Time for which callers use an entry list; streams that begin so early usually end. */
        val ACCEPT_ALL_TIME = 2.seconds

        /** Time to answer a request whose deadline has passed. */
        val ANSWER_TIME = 200.milliseconds

        /** Three times the lifetime of an entry list, because some callers cache it that long. */
        val ENTRY_LIST_RETENTION = 6.seconds

        /** A request that has arrived may wait this long for a thread that reads it. */
        val MIN_IDLE_TIME = 200.milliseconds

        /** Time to exit before the process is killed, also for one with little processor time. */
        val EXIT_MARGIN = 800.milliseconds
    }
}
