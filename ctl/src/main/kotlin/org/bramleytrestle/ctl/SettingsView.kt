package org.bramleytrestle.ctl

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/** The explicitly set values at one revision, as returned by `GET /admin/settings`. */
@Serializable
internal data class SettingsView(val revision: Long, val settings: JsonObject)
