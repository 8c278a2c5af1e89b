package org.bramleytrestle.model

import kotlinx.serialization.Serializable

/** Name of a model, whose layers are distributed over engines. */
@JvmInline
@Serializable
public value class ModelName(public val value: String) {
    override fun toString(): String = value
}
