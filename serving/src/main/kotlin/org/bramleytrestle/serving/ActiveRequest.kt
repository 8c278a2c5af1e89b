package org.bramleytrestle.serving

import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** A request in flight that the [Watchdog] monitors. */
public class ActiveRequest internal constructor(
    private val deadlineNanos: Long,
    private val callerDisconnected: () -> Boolean
) {
    @Volatile
    private var exchange: Cancellable? = null

    private val stallDeadlineNanos = AtomicLong(Long.MAX_VALUE)

    @Volatile
    private var mayCancel: () -> Boolean = { true }

    /** Why the exchange was cancelled. The next [arm] clears a stall; other causes are final. */
    @Volatile
    public var cancelCause: CancelCause? = null
        private set

    /**
     * Monitors [exchange], or the wait for one, and cancels it after [stallTimeout] without [progress].
     *
     * @param mayCancel asked before a stalled exchange is cancelled; if false, it is asked again
     * later.
     */
    @Synchronized
    public fun arm(
        exchange: Cancellable,
        nowNanos: Long,
        stallTimeout: Duration?,
        mayCancel: () -> Boolean = { true }
    ) {
        this.exchange = exchange
        this.mayCancel = mayCancel
        if (cancelCause == CancelCause.STALLED) cancelCause = null
        progress(nowNanos, stallTimeout)
    }

    /** Restarts the stall timer; null turns stall detection off. */
    public fun progress(nowNanos: Long, stallTimeout: Duration?) {
        stallDeadlineNanos.set(
            if (stallTimeout == null) Long.MAX_VALUE else nowNanos + stallTimeout.inWholeNanoseconds
        )
    }

    @Synchronized
    public fun disarm() {
        exchange = null
    }

    /** Cancels [exchange] as stalled, unless it has ended or another one has taken its place. */
    @Synchronized
    internal fun cancelStalled(exchange: Cancellable) {
        if (this.exchange === exchange) cancel(CancelCause.STALLED)
    }

    internal fun check(nowNanos: Long) {
        val stallDeadline = stallDeadlineNanos.get()
        val cause = when {
            nowNanos - deadlineNanos >= 0 -> CancelCause.DEADLINE
            callerDisconnected() -> CancelCause.DEPARTED
            stallDeadline != Long.MAX_VALUE && nowNanos - stallDeadline >= 0 -> CancelCause.STALLED
            else -> return
        }
        if (cause == CancelCause.STALLED && !mayCancel()) {
            stallDeadlineNanos.compareAndSet(stallDeadline, nowNanos + STALL_RECHECK_NANOS)
            return
        }
        cancel(cause)
    }

    @Synchronized
    private fun cancel(cause: CancelCause) {
        val current = exchange ?: return
        exchange = null
        cancelCause = cause
        current.cancel()
    }

    private companion object {
        /** Within this time, capacity on another server or in the retry budget may free up. */
        const val STALL_RECHECK_NANOS = 100_000_000L
    }
}
