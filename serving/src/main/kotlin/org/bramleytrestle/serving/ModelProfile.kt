package org.bramleytrestle.serving

import kotlin.time.Duration

/**
 * Sizes and speeds of the model that the servers of one service run.
 *
 * @property layers number of layers of the model; 0 if each server holds the whole model.
 * @property layerMegabytes memory for the weights of one layer.
 * @property cacheBytesPerToken memory that one token of a running request takes across all layers.
 * @property stepMillis duration of one step through all layers on an accelerator with
 * [Accelerator.stepTimeFactor] 1.
 * @property cards kinds of accelerators by name.
 * @property meanTokens mean number of tokens of a request, prompt and answer together.
 * @property meanAnswerTokens part of [meanTokens] that a server generates.
 * @property activationBytes what a server forwards to the next one for each token.
 * @property crossCentreMegabits bandwidth between data centres that all servers share, in megabits
 * per second; 0 if it is not limited.
 * @property loadTime time in which a server loads the weights of all layers.
 */
public data class ModelProfile(
    val layers: Int,
    val layerMegabytes: Double,
    val cacheBytesPerToken: Double,
    val stepMillis: Double,
    val cards: Map<String, Accelerator>,
    val meanTokens: Int,
    val loadTime: Duration,
    val meanAnswerTokens: Int = 1,
    val activationBytes: Double = 0.0,
    val crossCentreMegabits: Double = 0.0
) {
    /** Memory in megabytes that one token takes in each layer. */
    val cacheMegabytesPerLayer: Double
        get() = cacheBytesPerToken / layers / BYTES_PER_MEGABYTE

    /**
     * Whether [server] has a known accelerator and what it claims to hold is possible; entries of
     * servers may come from any writer.
     */
    internal fun fits(server: BackendServer): Boolean {
        val card = cards[server.card] ?: return false
        val held = server.held ?: return true
        return held.until <= layers && held.size * layerMegabytes <= card.megabytes
    }

    private companion object {
        const val BYTES_PER_MEGABYTE = 1e6
    }
}
