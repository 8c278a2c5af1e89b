package org.bramleytrestle.store

import kotlinx.serialization.Serializable
import org.bramleytrestle.model.LayerRange

/** A layer range of one model version that an engine holds or has been ordered to load. */
@Serializable
internal data class Placement(val version: String, val layers: LayerRange)
