package org.bramleytrestle.model

import kotlinx.serialization.Serializable

/** States which instance ran which layers for one token. */
@Serializable
public data class LineageStep(val instance: InstanceId, val layers: LayerRange)
