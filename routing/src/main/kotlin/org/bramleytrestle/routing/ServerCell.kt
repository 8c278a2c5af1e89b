package org.bramleytrestle.routing

import org.bramleytrestle.model.LayerRange

/**
 * Servers of one data centre that hold the same layers. Only the cheapest of them matters to a
 * search, so a search looks at cells instead of servers.
 */
internal class ServerCell(
    val number: Int,
    val servers: Array<PlanningServer>,
    val held: LayerRange,
    val dataCentre: Int,
    val lastBoundary: Int
)
