package org.bramleytrestle.settings

import kotlinx.serialization.Serializable

/** Overrides for an organisation and for its services. */
@Serializable
public data class OrganisationSettings(
    val overrides: Overrides = Overrides(),
    val services: Map<String, ServiceSettings> = emptyMap()
)
