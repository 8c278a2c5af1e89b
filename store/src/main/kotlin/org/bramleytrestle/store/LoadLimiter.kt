package org.bramleytrestle.store

import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Enforces a minimum [interval] between model loads, because the weight store is rate-limited. All
 * controllers of a node share one limiter.
 */
public class LoadLimiter(
    private val interval: Duration,
    timeSource: TimeSource = TimeSource.Monotonic
) {
    private val start = timeSource.markNow()
    private var nextAllowedAt = Duration.ZERO

    /** Returns whether a load may start now. If so, the next one must wait for the interval. */
    @Synchronized
    public fun tryAcquire(): Boolean {
        val now = start.elapsedNow()
        if (now < nextAllowedAt) return false
        nextAllowedAt = now + interval
        return true
    }
}
