package org.bramleytrestle.backend

import org.bramleytrestle.model.Invariants
import org.bramleytrestle.model.LayerRange

/** Number of events after the last token. */
private const val TERMINAL_EVENTS = 1

/** Maximum number of events; a buffer of this size keeps slow collectors from blocking engines. */
internal val ChainWork.maxEvents: Int
    get() = (maxTokens - emitted.size).coerceAtLeast(0) + TERMINAL_EVENTS

/** Checks that the hops cover all layers; a violation is a bug of the node, not of an engine. */
internal fun ChainWork.checkLayerCoverage() {
    val layers = hops.map { it.layers }
    val covered = layers.isNotEmpty() && LayerRange.coversExactly(layers, layers.last().until)
    Invariants.check("planCoversLayers", covered) {
        "request $request attempt $attempt: layers $layers are empty or have a gap or overlap"
    }
}
