package org.bramleytrestle.standins.engine

import kotlinx.serialization.Serializable
import org.bramleytrestle.model.LayerRange

/**
 * Configuration of a stand-in engine.
 *
 * @property port port to listen on; 0 selects a free port.
 * @property modelLayers layer count of the whole model; the engine with the last layer samples.
 * @property microsPerLayer duration of one decode step for one layer.
 * @property maxRequests maximum number of requests with state; more are refused with `full`.
 * @property cacheBlocks capacity of the prefix cache, in blocks of 16 tokens.
 * @property cacheEventLossProbability probability that a cache event is never published.
 * @property hopTimeoutMillis time without a response after which the engine, as first hop, reports
 * another hop as `silent`. Longer than the callers' time-out, as real engines detect it late.
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
