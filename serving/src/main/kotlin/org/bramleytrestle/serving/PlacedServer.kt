package org.bramleytrestle.serving

import org.bramleytrestle.model.LayerRange

/** The properties of a model server that [LayerPlanner] needs. */
public data class PlacedServer(
    val id: String,
    val dataCentre: String,
    val megabytes: Double,
    val stepTimeFactor: Double,
    val held: LayerRange?
)
