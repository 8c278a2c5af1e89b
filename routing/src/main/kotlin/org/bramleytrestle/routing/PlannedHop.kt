package org.bramleytrestle.routing

import org.bramleytrestle.model.LayerRange

/** A server and the layers that it runs in a chain. */
internal data class PlannedHop(val server: PlanningServer, val layers: LayerRange)
