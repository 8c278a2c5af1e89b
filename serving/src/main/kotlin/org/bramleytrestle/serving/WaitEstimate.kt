package org.bramleytrestle.serving

import java.util.concurrent.atomic.AtomicReference
import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tells how long a wait may last before it is unusual.
 *
 * Load pattern: passes that read long prompts make some waits several times the mean. While all
 * recent waits were shorter than the one that still allows a repair in time, that one is the
 * limit. Under load, where waits exceed it, the limit follows their mean and mean deviation, as
 * retransmission timers do, so that load alone repeats nothing.
 *
 * @param longest limit while nothing is known.
 */
public class WaitEstimate(
    private val longest: Duration,
    private val now: () -> Moment = Moment::now
) {
    private class State(
        val mean: Double,
        val deviation: Double,
        val windowStart: Moment,
        val longestInWindow: Duration,
        val longestBefore: Duration
    )

    private val state = AtomicReference<State?>(null)

    /** Mean of recent waits; null while nothing is known. */
    public val mean: Duration? get() = state.get()?.mean?.nanoseconds

    /** The longest usual wait, at least [shortest]. */
    public fun limit(shortest: Duration): Duration {
        val known = state.get() ?: return longest
        if (maxOf(known.longestInWindow, known.longestBefore) < shortest) return shortest
        val nanos = known.mean + DEVIATIONS * known.deviation
        return nanos.nanoseconds.coerceIn(shortest, maxOf(shortest, longest))
    }

    public fun add(wait: Duration) {
        val at = now()
        val nanos = wait.inWholeNanoseconds.toDouble()
        state.updateAndGet { old ->
            if (old == null) {
                State(nanos, nanos / 2, at, wait, Duration.ZERO)
            } else {
                val error = nanos - old.mean
                val over = at.since(old.windowStart) >= WINDOW
                State(
                    mean = old.mean + error * MEAN_GAIN,
                    deviation = old.deviation + (abs(error) - old.deviation) * DEVIATION_GAIN,
                    windowStart = if (over) at else old.windowStart,
                    longestInWindow = if (over) wait else maxOf(wait, old.longestInWindow),
                    longestBefore = if (over) old.longestInWindow else old.longestBefore
                )
            }
        }
    }

    private companion object {
        /** Weights of the newest wait, as in RFC 6298. */
        const val MEAN_GAIN = 0.125
        const val DEVIATION_GAIN = 0.25

        /** Twice that of RFC 6298, as a repeat reads the whole prompt again. */
        const val DEVIATIONS = 8

        /** Half of the time for which a long wait is remembered; bursts of prompts last so long. */
        val WINDOW = 1.seconds
    }
}
