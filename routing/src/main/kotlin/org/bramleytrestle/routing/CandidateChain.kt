package org.bramleytrestle.routing

import org.bramleytrestle.model.StageHop

/** A chain of servers with the layers that each hop runs. */
internal class CandidateChain(val plannedHops: Array<PlannedHop>) {
    constructor(plannedHops: List<PlannedHop>) : this(plannedHops.toTypedArray())

    val hops: List<StageHop> = plannedHops.map { it.server.hop(it.layers) }
}
