package org.bramleytrestle.model

import kotlinx.serialization.Serializable

/** Name of the data centre that an instance runs in. */
@JvmInline
@Serializable
public value class DataCentre(public val value: String) {
    override fun toString(): String = value
}
