package org.bramleytrestle.model

import kotlinx.serialization.Serializable

/** One stage of a chain: the engine and the layers it runs for this request. */
@Serializable
public data class StageHop(val instance: InstanceId, val address: String, val layers: LayerRange)
