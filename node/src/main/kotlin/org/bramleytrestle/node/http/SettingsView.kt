package org.bramleytrestle.node.http

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/** Answer of `GET /admin/settings`: the explicit settings at one revision. */
@Serializable
internal data class SettingsView(val revision: Long, val settings: JsonObject)
