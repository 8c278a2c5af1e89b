package org.bramleytrestle.serving

import org.bramleytrestle.model.LayerRange

/**
 * Servers that together run every layer once and in order.
 *
 * @property stepMillis estimated time of one token through the idle chain.
 * @property capacity requests that fit into the memory and slots of every stage at once.
 */
public data class Chain(val stages: List<Stage>, val stepMillis: Double, val capacity: Int) {
    public val first: BackendServer get() = stages.first().server

    /** Names the chain in logs. */
    public val label: String = stages.joinToString(">") { it.server.id }

    public fun covers(layers: Int): Boolean =
        LayerRange.coversExactly(stages.map { it.layers }, layers)
}
