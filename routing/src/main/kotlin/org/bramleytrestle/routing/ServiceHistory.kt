package org.bramleytrestle.routing

import java.util.concurrent.atomic.AtomicReference
import org.bramleytrestle.settings.EffectiveSettings

/**
 * Learns how long the answers of one service are. It follows a quantile and not the mean, because
 * a few answers many times longer than the rest would otherwise make all work look long.
 */
internal class ServiceHistory {
    private val state = AtomicReference(State(0, 0.0))

    private data class State(val samples: Int, val quantile: Double)

    fun learn(tokens: Int) {
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
        val known = state.get()
        val most = minOf(work.maxTokens, settings.maxTokens).coerceAtLeast(1)
        val whole = if (known.samples < MIN_SAMPLES) {
            most
        } else {
            minOf(most, kotlin.math.ceil(known.quantile * HEADROOM).toInt())
        }
        val short = maxOf(whole, work.emittedTokens + 1) <= settings.shortTokens
        val left = (whole - work.emittedTokens).coerceAtLeast(1)
        return LengthEstimate(
            tokens = left,
            workClass = if (short) WorkClass.SHORT else WorkClass.LONG,
            demoteAfter = if (short) settings.shortTokens - work.emittedTokens else 2 * left
        )
    }

    private companion object {
        const val QUANTILE = 0.8
        const val STEP = 0.25
        const val MIN_SAMPLES = 8

        /** The estimate of a steady service must not lie below half of its answers. */
        const val HEADROOM = 1.1
    }
}
