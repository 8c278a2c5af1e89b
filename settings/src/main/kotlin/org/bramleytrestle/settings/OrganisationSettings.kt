package org.bramleytrestle.settings

import kotlinx.serialization.Serializable

/** Overrides of one organisation and of its services. */
@Serializable
public data class OrganisationSettings(
    val overrides: Overrides = Overrides(),
    val services: Map<String, ServiceSettings> = emptyMap()
)
