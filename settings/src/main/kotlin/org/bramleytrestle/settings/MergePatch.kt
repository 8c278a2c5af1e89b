package org.bramleytrestle.settings

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject

/** JSON merge patch (RFC 7396): objects merge by key, other values replace, null removes. */
internal fun mergePatch(target: JsonElement?, patch: JsonElement): JsonElement {
    if (patch !is JsonObject) return patch
    val merged = (target as? JsonObject).orEmpty().toMutableMap()
    for ((key, value) in patch) {
        if (value is JsonNull) merged.remove(key) else merged[key] = mergePatch(merged[key], value)
    }
    return JsonObject(merged)
}
