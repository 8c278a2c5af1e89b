package org.bramleytrestle.store

import kotlin.time.Duration
import kotlin.time.TimeSource

/** Spaces loads from the rate-limited weight store; shared by the controllers of a node. */
public class LoadLimiter(
    private val interval: Duration,
    timeSource: TimeSource = TimeSource.Monotonic
) {
    private val start = timeSource.markNow()
    private var next = Duration.ZERO

    /** Whether a load may begin now; if so, the next one may after the interval. */
    @Synchronized
    public fun tryBegin(): Boolean {
        val now = start.elapsedNow()
        if (now < next) return false
        next = now + interval
        return true
    }
}
