package org.bramleytrestle.model

import kotlinx.serialization.Serializable

/** Name of a service of an organisation, the lowest level of the settings tree. */
@JvmInline
@Serializable
public value class ServiceName(public val value: String) {
    override fun toString(): String = value
}
