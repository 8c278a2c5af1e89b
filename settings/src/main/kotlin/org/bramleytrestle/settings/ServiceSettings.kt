package org.bramleytrestle.settings

import kotlinx.serialization.Serializable

/** Overrides for a service. */
@Serializable
public data class ServiceSettings(val overrides: Overrides = Overrides())
