package org.bramleytrestle.serving

import org.bramleytrestle.model.LayerRange

/** A server that can hold layers, as [LayerPlanner] sees it. */
public data class PlacedServer(
    val id: String,
    val dataCentre: String,
    val megabytes: Double,
    val pace: Double,
    val held: LayerRange?
)
