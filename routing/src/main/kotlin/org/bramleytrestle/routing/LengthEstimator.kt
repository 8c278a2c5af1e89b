package org.bramleytrestle.routing

import java.util.concurrent.atomic.AtomicReference
import org.bramleytrestle.settings.EffectiveSettings

/**
 * Estimates the length of the answers of one service. It tracks a quantile rather than the mean,
 * because a few answers many times longer than the rest would otherwise make all work appear long.
 */
internal class LengthEstimator {
    private val state = AtomicReference(State(0, 0.0))

    private data class State(val samples: Int, val quantile: Double)

    /** Records an answer of [tokens] tokens. */
    fun record(tokens: Int) {
        state.updateAndGet {
            val value = tokens.toDouble().coerceAtLeast(1.0)
            val next = when {
                it.samples == 0 -> value
                value > it.quantile -> minOf(value, it.quantile * (1 + STEP * QUANTILE))
                else -> maxOf(value, it.quantile * (1 - STEP * (1 - QUANTILE)))
            }
            State(minOf(it.samples + 1, MIN_SAMPLES), next)
        }
    }

    fun estimate(work: Work, settings: EffectiveSettings): LengthEstimate {
        val current = state.get()
        val maxTokens = minOf(work.maxTokens, settings.maxTokens).coerceAtLeast(1)
        val totalTokens = if (current.samples < MIN_SAMPLES) {
            maxTokens
        } else {
            minOf(maxTokens, kotlin.math.ceil(current.quantile * HEADROOM).toInt())
        }
        val isShort = maxOf(totalTokens, work.emittedTokens + 1) <= settings.shortTokens
        val remainingTokens = (totalTokens - work.emittedTokens).coerceAtLeast(1)
        return LengthEstimate(
            tokens = remainingTokens,
            workClass = if (isShort) WorkClass.SHORT else WorkClass.LONG,
            demoteAfter =
            if (isShort) settings.shortTokens - work.emittedTokens else 2 * remainingTokens
        )
    }

    private companion object {
        const val QUANTILE = 0.8
        const val STEP = 0.25
        const val MIN_SAMPLES = 8

        /** Without it, half of the answers of a steady service may exceed the estimate. */
        const val HEADROOM = 1.1
    }
}
