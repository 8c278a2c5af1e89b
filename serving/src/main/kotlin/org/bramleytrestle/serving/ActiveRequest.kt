package org.bramleytrestle.serving

import kotlin.time.Duration

/** A request in flight, as the watchdog sees it. */
public class ActiveRequest internal constructor(
    private val deadlineNanos: Long,
    private val departed: () -> Boolean
) {
    @Volatile
    private var exchange: ServerExchange? = null

    @Volatile
    private var stallNanos = Long.MAX_VALUE

    @Volatile
    private var mayEnd: () -> Boolean = { true }

    /** Why the current exchange was ended; the first cause stays until the next [arm]. */
    @Volatile
    public var cause: CancelCause? = null
        private set

    /**
     * Watches [exchange], which is ended after [patience] without [progress].
     *
     * @param mayEnd asked once before silence ends the exchange; false lets it go on.
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
        stallNanos = if (patience == null) {
            Long.MAX_VALUE
        } else {
            nowNanos + patience.inWholeNanoseconds
        }
    }

    @Synchronized
    public fun disarm() {
        exchange = null
    }

    internal fun check(nowNanos: Long) {
        val found = when {
            nowNanos - deadlineNanos >= 0 -> CancelCause.DEADLINE
            departed() -> CancelCause.DEPARTED
            stallNanos != Long.MAX_VALUE && nowNanos - stallNanos >= 0 -> CancelCause.STALLED
            else -> return
        }
        if (found == CancelCause.STALLED && !mayEnd()) {
            stallNanos = Long.MAX_VALUE
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
}
