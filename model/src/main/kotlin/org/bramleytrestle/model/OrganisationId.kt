package org.bramleytrestle.model

import kotlinx.serialization.Serializable

/** Identifies a customer, which has its own settings, queue share and limits. */
@JvmInline
@Serializable
public value class OrganisationId(public val value: String) {
    override fun toString(): String = value
}
