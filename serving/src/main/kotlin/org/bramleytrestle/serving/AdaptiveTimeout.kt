package org.bramleytrestle.serving

import java.util.concurrent.atomic.AtomicReference
import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Derives a timeout from the durations of recent waits.
 *
 * Passes that read long prompts make some waits several times the mean. While all recent waits were
 * shorter than the minimum timeout, which still allows a repair in time, the minimum is used. Under
 * load, when waits exceed it, the timeout follows their mean and mean deviation, as TCP's
 * retransmission timeout does, so that load alone does not cause retries.
 *
 * @param max the longest timeout, used while there are no measurements.
 */
public class AdaptiveTimeout(
    private val max: Duration,
    private val now: () -> Moment = Moment::now
) {
    private class State(
        val mean: Double,
        val deviation: Double,
        val windowStart: Moment,
        val longestInWindow: Duration,
        val longestInPreviousWindow: Duration
    )

    private val state = AtomicReference<State?>(null)

    /** Mean of recent waits; null while there are none. */
    public val mean: Duration? get() = state.get()?.mean?.nanoseconds

    /** The current timeout, at least [min]. */
    public fun timeout(min: Duration): Duration {
        val known = state.get() ?: return max
        if (maxOf(known.longestInWindow, known.longestInPreviousWindow) < min) return min
        val nanos = known.mean + DEVIATION_FACTOR * known.deviation
        return nanos.nanoseconds.coerceIn(min, maxOf(min, max))
    }

    public fun record(wait: Duration) {
        val at = now()
        val nanos = wait.inWholeNanoseconds.toDouble()
        state.updateAndGet { old ->
            if (old == null) {
                State(nanos, nanos / 2, at, wait, Duration.ZERO)
            } else {
                val error = nanos - old.mean
                val windowOver = at.since(old.windowStart) >= WINDOW
                State(
                    mean = old.mean + error * MEAN_GAIN,
                    deviation = old.deviation + (abs(error) - old.deviation) * DEVIATION_GAIN,
                    windowStart = if (windowOver) at else old.windowStart,
                    longestInWindow = if (windowOver) wait else maxOf(wait, old.longestInWindow),
                    longestInPreviousWindow =
                    if (windowOver) old.longestInWindow else old.longestInPreviousWindow
                )
            }
        }
    }

    private companion object {
        /** Weights of the newest wait, as in RFC 6298. */
        const val MEAN_GAIN = 0.125
        const val DEVIATION_GAIN = 0.25

        /** Twice that of RFC 6298, because a retry reads the whole prompt again. */
        const val DEVIATION_FACTOR = 8

        /** Half of the time for which a long wait counts; bursts of prompts last about as long. */
        val WINDOW = 1.seconds
    }
}
