package org.bramleytrestle.serving

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A point in time on the monotonic clock and on the wall clock. The monotonic clock does not
 * advance while the machine is suspended, and the wall clock may jump. Measuring an age on both and
 * taking the larger value never underestimates it.
 */
public data class Moment(val monotonicNanos: Long, val wallMillis: Long) {
    /** Time since [earlier], by the clock that advanced more. */
    public fun since(earlier: Moment): Duration = maxOf(
        (monotonicNanos - earlier.monotonicNanos).nanoseconds,
        (wallMillis - earlier.wallMillis).milliseconds
    )

    public operator fun plus(span: Duration): Moment = Moment(
        monotonicNanos + span.inWholeNanoseconds,
        wallMillis + span.inWholeMilliseconds
    )

    /**
     * This moment, or [other] where that is earlier, by each clock. A time that was computed in
     * advance may lie in the future of the monotonic clock after a suspension.
     */
    public fun notAfter(other: Moment): Moment = Moment(
        minOf(monotonicNanos, other.monotonicNanos),
        minOf(wallMillis, other.wallMillis)
    )

    public companion object {
        public fun now(): Moment = Moment(System.nanoTime(), System.currentTimeMillis())
    }
}
