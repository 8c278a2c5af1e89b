package org.bramleytrestle.model

import kotlinx.serialization.Serializable

/** Names a model that engines hold in layer ranges. */
@JvmInline
@Serializable
public value class ModelName(public val value: String) {
    override fun toString(): String = value
}
