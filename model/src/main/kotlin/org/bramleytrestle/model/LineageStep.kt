package org.bramleytrestle.model

import kotlinx.serialization.Serializable

/** The layers that one instance computed for a token. */
@Serializable
public data class LineageStep(val instance: InstanceId, val layers: LayerRange)
