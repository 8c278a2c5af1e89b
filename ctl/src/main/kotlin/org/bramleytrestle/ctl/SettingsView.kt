package org.bramleytrestle.ctl

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/** The explicit settings at one revision. */
@Serializable
internal data class SettingsView(val revision: Long, val settings: JsonObject)
