package org.bramleytrestle.serving

import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** A request in flight, as the watchdog sees it. */
public class ActiveRequest internal constructor(
    private val deadlineNanos: Long,
    private val departed: () -> Boolean
) {
    @Volatile
    private var exchange: ServerExchange? = null

    private val stallNanos = AtomicLong(Long.MAX_VALUE)

    @Volatile
    private var mayEnd: () -> Boolean = { true }

    /** Why the current exchange was ended; the first cause stays until the next [arm]. */
    @Volatile
    public var cause: CancelCause? = null
        private set

    /**
     * Watches [exchange], which is ended after [patience] without [progress].
     *
     * @param mayEnd asked before silence ends the exchange; false lets it go on for a while.
     */
    @Synchronized
    public fun arm(
        exchange: ServerExchange,
        nowNanos: Long,
        patience: Duration?,
        mayEnd: () -> Boolean = { true }
    ) {
        this.exchange = exchange
        this.mayEnd = mayEnd
        if (cause == CancelCause.STALLED) cause = null
        progress(nowNanos, patience)
    }

    public fun progress(nowNanos: Long, patience: Duration?) {
        stallNanos.set(
            if (patience == null) Long.MAX_VALUE else nowNanos + patience.inWholeNanoseconds
        )
    }

    @Synchronized
    public fun disarm() {
        exchange = null
    }

    internal fun check(nowNanos: Long) {
        val stall = stallNanos.get()
        val found = when {
            nowNanos - deadlineNanos >= 0 -> CancelCause.DEADLINE
            departed() -> CancelCause.DEPARTED
            stall != Long.MAX_VALUE && nowNanos - stall >= 0 -> CancelCause.STALLED
            else -> return
        }
        if (found == CancelCause.STALLED && !mayEnd()) {
            stallNanos.compareAndSet(stall, nowNanos + ASK_AGAIN_NANOS)
            return
        }
        cancel(found)
    }

    @Synchronized
    private fun cancel(found: CancelCause) {
        val current = exchange ?: return
        exchange = null
        cause = found
        current.cancel()
    }

    private companion object {
        /** Time in which room elsewhere or for a repeat may appear. */
        const val ASK_AGAIN_NANOS = 100_000_000L
    }
}
