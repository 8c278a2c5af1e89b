package org.bramleytrestle.model

import kotlinx.serialization.Serializable

/** Identifies one instance of a node or of a backend server. */
@JvmInline
@Serializable
public value class InstanceId(public val value: String) {
    override fun toString(): String = value
}
