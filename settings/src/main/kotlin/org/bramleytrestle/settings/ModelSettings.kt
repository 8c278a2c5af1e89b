package org.bramleytrestle.settings

import kotlinx.serialization.Serializable

/** A model with its number of layers and the version that requests are sent to. */
@Serializable
public data class ModelSettings(val layers: Int, val version: String = "1")
