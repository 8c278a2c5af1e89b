package org.bramleytrestle.model

import kotlinx.serialization.Serializable

/** One stage of a chain: an engine and the layers that it computes for the request. */
@Serializable
public data class StageHop(val instance: InstanceId, val address: String, val layers: LayerRange)
