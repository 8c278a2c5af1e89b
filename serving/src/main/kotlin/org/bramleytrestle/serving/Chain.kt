package org.bramleytrestle.serving

import org.bramleytrestle.model.LayerRange

/**
 * A pipeline of servers that together run every layer of the model once and in order.
 *
 * @property stepMillis estimated time for one token through the idle chain.
 * @property capacity concurrent requests that fit into the memory and slots of every stage.
 */
public data class Chain(val stages: List<Stage>, val stepMillis: Double, val capacity: Int) {
    public val first: BackendServer get() = stages.first().server

    /** Identifies the chain in logs and as a map key. */
    public val label: String = stages.joinToString(">") { it.server.id }

    public fun covers(layers: Int): Boolean =
        LayerRange.coversExactly(stages.map { it.layers }, layers)
}
