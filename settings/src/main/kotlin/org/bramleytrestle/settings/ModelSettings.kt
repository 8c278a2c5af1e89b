package org.bramleytrestle.settings

import kotlinx.serialization.Serializable

/** A model: its number of layers and the version that requests use. */
@Serializable
public data class ModelSettings(val layers: Int, val version: String = "1")
