package org.bramleytrestle.node.http

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/** Response body of `GET /admin/settings`: the explicitly set values at one revision. */
@Serializable
internal data class SettingsView(val revision: Long, val settings: JsonObject)
