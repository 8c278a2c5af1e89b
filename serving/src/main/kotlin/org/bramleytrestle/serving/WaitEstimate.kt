package org.bramleytrestle.serving

import java.util.concurrent.atomic.AtomicReference
import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Tells how long a wait may last before it is unusual, from the mean and the mean deviation of
 * recent waits, as retransmission timers do.
 */
public class WaitEstimate(private val shortest: Duration, private val longest: Duration) {
    private class Sample(val mean: Double, val deviation: Double)

    private val state = AtomicReference<Sample?>(null)

    /** The longest usual wait; [longest] while nothing is known. */
    public val limit: Duration
        get() {
            val known = state.get() ?: return longest
            val nanos = known.mean + DEVIATIONS * known.deviation
            return nanos.nanoseconds.coerceIn(shortest, longest)
        }

    public fun add(wait: Duration) {
        val nanos = wait.inWholeNanoseconds.toDouble()
        state.updateAndGet { old ->
            if (old == null) {
                Sample(nanos, nanos / 2)
            } else {
                val error = nanos - old.mean
                Sample(
                    old.mean + error * MEAN_GAIN,
                    old.deviation + (abs(error) - old.deviation) * DEVIATION_GAIN
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
    }
}
