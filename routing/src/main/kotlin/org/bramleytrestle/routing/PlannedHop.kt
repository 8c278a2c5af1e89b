package org.bramleytrestle.routing

import org.bramleytrestle.model.LayerRange

internal data class PlannedHop(val server: PlanningServer, val layers: LayerRange)
