package org.bramleytrestle.standins.engine

import kotlinx.serialization.Serializable
import org.bramleytrestle.model.LayerRange

/**
 * One stand-in engine.
 *
 * @property port 0 picks a free port.
 * @property modelLayers layers of the whole model; the engine that runs the last one samples.
 * @property microsPerLayer time of one decode step for one layer.
 * @property maxRequests requests with state beyond which new ones are refused as `full`.
 * @property cacheBlocks prompt prefixes, in blocks of 16 tokens, that fit in memory.
 * @property cacheEventLossProbability share of cache events that are never published.
 * @property hopTimeoutMillis after this time without an answer the engine, as first hop, reports
 * another hop as silent. It is longer than the callers' bound: real engines notice late.
 */
@Serializable
public data class EngineConfig(
    val id: String,
    val port: Int = 0,
    val model: String = "drafter",
    val version: String = "1",
    val layers: LayerRange,
    val modelLayers: Int = 32,
    val accelerator: String = "a1",
    val dataCentre: String = "dc1",
    val microsPerLayer: Long = 250,
    val slots: Int = 8,
    val maxRequests: Int = 256,
    val checksFencing: Boolean = true,
    val reportLagMillis: Long = 100,
    val cacheBlocks: Int = 2048,
    val cacheEventDelayMillis: Long = 200,
    val cacheEventLossProbability: Double = 0.02,
    val pingMillis: Long = 500,
    val idleMillis: Long = 60_000,
    val hopTimeoutMillis: Long = 5_000,
    val seed: Long = 1
)
