package org.bramleytrestle.settings

import kotlinx.serialization.Serializable

/** The whole settings tree of a fleet; only explicit overrides are stored. */
@Serializable
public data class SettingsDocument(
    val models: Map<String, ModelSettings> = emptyMap(),
    val pools: Map<String, PoolSettings> = emptyMap(),
    val defaults: Overrides = Overrides(),
    val organisations: Map<String, OrganisationSettings> = emptyMap()
)
