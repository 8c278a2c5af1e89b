package org.bramleytrestle.settings

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject

/** Applies a JSON merge patch (RFC 7396): merges objects by key; null removes a key. */
internal fun mergePatch(target: JsonElement?, patch: JsonElement): JsonElement {
    if (patch !is JsonObject) return patch
    val merged = (target as? JsonObject).orEmpty().toMutableMap()
    for ((key, value) in patch) {
        if (value is JsonNull) merged.remove(key) else merged[key] = mergePatch(merged[key], value)
    }
    return JsonObject(merged)
}

/** Returns the merge patch that turns [from] into [to]. */
internal fun mergePatchBetween(from: JsonObject, to: JsonObject): JsonObject {
    val removed = (from.keys - to.keys).associateWith { JsonNull }
    val altered = to.filter { (key, value) -> from[key] != value }.mapValues { (key, value) ->
        val old = from[key]
        if (old is JsonObject && value is JsonObject) mergePatchBetween(old, value) else value
    }
    return JsonObject(removed + altered)
}
