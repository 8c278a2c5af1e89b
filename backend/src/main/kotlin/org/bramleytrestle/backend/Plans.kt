package org.bramleytrestle.backend

import org.bramleytrestle.model.Invariants
import org.bramleytrestle.model.LayerRange

/** Events after the last token that must fit in a buffer. */
private const val TERMINAL_EVENTS = 1

/** Events that one attempt can give, so that a slow collector never holds an engine. */
internal val ChainWork.maxEvents: Int
    get() = (maxTokens - emitted.size).coerceAtLeast(0) + TERMINAL_EVENTS

/** A plan that does not cover the layers is a fault of this program, not of an engine. */
internal fun ChainWork.checkPlan() {
    val layers = hops.map { it.layers }
    val covered = layers.isNotEmpty() && LayerRange.coversExactly(layers, layers.last().until)
    Invariants.check("planCoversLayers", covered) {
        "request $request attempt $attempt: layers $layers have a gap or overlap"
    }
}
