package org.bramleytrestle.standins

import kotlinx.serialization.json.Json

internal val WireJson: Json = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
    encodeDefaults = true
}
