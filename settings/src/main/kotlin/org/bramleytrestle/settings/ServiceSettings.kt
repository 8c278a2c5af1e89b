package org.bramleytrestle.settings

import kotlinx.serialization.Serializable

/** Overrides of one service. */
@Serializable
public data class ServiceSettings(val overrides: Overrides = Overrides())
