package org.bramleytrestle.standins.measure

import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.standins.fleet.EngineSpec

internal const val MODEL = "drafter"
internal const val LAYERS = 12

/** Settings of all measurements. All engines are on one side, so their rates give the bound. */
internal val MEASURE_SETTINGS = """
    |models: {$MODEL: {layers: $LAYERS}}
    |pools: {all: {kind: engine, model: $MODEL, side: new}}
    |defaults: {newShare: 1.0, maxTokens: 2000, shortTokens: 32, deadlineMillis: 60000}
""".trimMargin()

/** Fast and slow engines for each of two layer ranges; times are per layer in microseconds. */
internal fun heterogeneousEngines(
    fastMicros: Long = 2_000,
    slowMicros: Long = 6_000,
    slots: Int = 4,
    enginesPerKind: Int = 2
): List<EngineSpec> {
    val ranges = listOf(LayerRange(0, LAYERS / 2), LayerRange(LAYERS / 2, LAYERS))
    val kinds = listOf("fast" to fastMicros, "slow" to slowMicros)
    return ranges.flatMap { layers ->
        kinds.flatMap { (kind, micros) ->
            (1..enginesPerKind).map { i ->
                EngineSpec(
                    id = "$kind-${layers.from}-$i",
                    pool = "all",
                    model = MODEL,
                    layers = layers,
                    modelLayers = LAYERS,
                    accelerator = kind,
                    microsPerLayer = micros,
                    slots = slots
                )
            }
        }
    }
}

/** Maximum tokens per second of [engines], which the slowest layer range determines. */
internal fun tokenBound(engines: List<EngineSpec>): Double = engines
    .groupBy { it.layers }
    .values.minOf { group ->
        group.sumOf { it.slots * MICROS_PER_SECOND / (it.microsPerLayer * it.layers.size) }
    }

private const val MICROS_PER_SECOND = 1e6
