package org.bramleytrestle.model

import kotlinx.serialization.Serializable

/** Identifies a customer whose settings, queue share and limits are its own. */
@JvmInline
@Serializable
public value class OrganisationId(public val value: String) {
    override fun toString(): String = value
}
