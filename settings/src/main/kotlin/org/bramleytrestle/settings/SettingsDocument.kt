package org.bramleytrestle.settings

import kotlinx.serialization.Serializable

/** The complete settings of a fleet. Stores explicit overrides only, no inherited values. */
@Serializable
public data class SettingsDocument(
    val models: Map<String, ModelSettings> = emptyMap(),
    val pools: Map<String, PoolSettings> = emptyMap(),
    val defaults: Overrides = Overrides(),
    val organisations: Map<String, OrganisationSettings> = emptyMap()
)
