package org.bramleytrestle.serving

import kotlin.time.Duration

/**
 * How the model servers of one service hold and run the model.
 *
 * @property layers layers of the whole model; 0 if each server holds the model whole.
 * @property layerMegabytes memory of the weights of one layer.
 * @property cacheBytesPerToken memory that one token of a running request takes over all layers.
 * @property stepMillis time of one step through all layers on a card of pace 1.
 * @property cards kinds of accelerators by name.
 * @property usualTokens mean tokens of a request, prompt and answer together.
 */
public data class ModelProfile(
    val layers: Int,
    val layerMegabytes: Double,
    val cacheBytesPerToken: Double,
    val stepMillis: Double,
    val cards: Map<String, Accelerator>,
    val usualTokens: Int,
    val loadTime: Duration
) {
    /** Memory in megabytes that one token takes in each layer. */
    val cacheMegabytesPerLayer: Double
        get() = cacheBytesPerToken / layers / BYTES_PER_MEGABYTE

    private companion object {
        const val BYTES_PER_MEGABYTE = 1e6
    }
}
