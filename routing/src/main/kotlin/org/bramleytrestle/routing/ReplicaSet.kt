package org.bramleytrestle.routing

import org.bramleytrestle.model.LayerRange

/**
 * Servers of one data centre that hold the same layers. Only the cheapest of them can be part of a
 * cheapest chain, so the search iterates over replica sets instead of servers.
 *
 * @property index position among the replica sets of a [ChainSearch].
 * @property lastBoundary index of the layer boundary where [heldLayers] ends.
 */
internal class ReplicaSet(
    val index: Int,
    val servers: Array<PlanningServer>,
    val heldLayers: LayerRange,
    val dataCentre: Int,
    val lastBoundary: Int
)
