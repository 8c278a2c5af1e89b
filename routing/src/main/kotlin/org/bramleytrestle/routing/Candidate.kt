package org.bramleytrestle.routing

import org.bramleytrestle.model.StageHop

/** A chain prepared off the request path. */
internal class Candidate(val planned: Array<PlannedHop>) {
    constructor(planned: List<PlannedHop>) : this(planned.toTypedArray())

    val hops: List<StageHop> = planned.map { it.server.hop(it.layers) }
}
