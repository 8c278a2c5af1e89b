package org.bramleytrestle.model

import kotlinx.serialization.Serializable

/** Names the data centre an instance runs in. */
@JvmInline
@Serializable
public value class DataCentre(public val value: String) {
    override fun toString(): String = value
}
