package org.bramleytrestle.serving

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A moment on the steady clock and on the time of day. The steady clock does not count the time of
 * a suspended machine, the time of day may jump; an age by both is never too low.
 */
public data class Moment(val monotonicNanos: Long, val wallMillis: Long) {
    /** Time since [earlier], by the clock that counted more. */
    public fun since(earlier: Moment): Duration = maxOf(
        (monotonicNanos - earlier.monotonicNanos).nanoseconds,
        (wallMillis - earlier.wallMillis).milliseconds
    )

    public operator fun plus(span: Duration): Moment = Moment(
        monotonicNanos + span.inWholeNanoseconds,
        wallMillis + span.inWholeMilliseconds
    )

    public companion object {
        public fun now(): Moment = Moment(System.nanoTime(), System.currentTimeMillis())
    }
}
