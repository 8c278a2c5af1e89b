package org.bramleytrestle.store

import kotlinx.serialization.Serializable
import org.bramleytrestle.model.LayerRange

/** A range of layers of one version, which an engine holds or is to hold. */
@Serializable
internal data class Placement(val version: String, val layers: LayerRange)
