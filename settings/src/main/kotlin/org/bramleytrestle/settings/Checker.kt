package org.bramleytrestle.settings

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/** Adds every fault of one value to a list, so that one pass reports all of them. */
internal typealias Checker = (
    path: String,
    value: JsonElement,
    faults: MutableList<SettingsError>
) -> Unit

private fun JsonElement.shown(): String = when (this) {
    is JsonObject -> "a map"
    is JsonArray -> "a list"
    else -> toString()
}

private fun leaf(expected: String, valid: (JsonPrimitive) -> Boolean): Checker =
    { path, value, faults ->
        if (value !is JsonPrimitive || !valid(value)) {
            faults += SettingsError(path, value.shown(), expected)
        }
    }

internal fun child(path: String, key: String): String = if (path.isEmpty()) key else "$path.$key"

internal fun decimal(expected: String, valid: (Double) -> Boolean): Checker =
    leaf(expected) { it.doubleOrNull?.let(valid) ?: false }

internal fun whole(range: LongRange): Checker =
    leaf("a whole number from ${range.first} to ${range.last}") { it.longOrNull in range }

internal fun flag(): Checker = leaf("true or false") { it.booleanOrNull != null }

internal fun oneOf(vararg allowed: String): Checker =
    leaf("one of ${allowed.joinToString()}") { it.content in allowed }

internal fun matching(pattern: Regex, expected: String): Checker =
    leaf(expected) { pattern.matches(it.content) }

internal fun listOf(item: Checker): Checker = { path, value, faults ->
    if (value is JsonArray) {
        value.forEachIndexed { i, element -> item("$path[$i]", element, faults) }
    } else {
        faults += SettingsError(path, value.shown(), "a list")
    }
}

internal fun mapOf(key: Regex, keyExpected: String, item: Checker): Checker =
    { path, value, faults ->
        if (value is JsonObject) {
            for ((name, element) in value) {
                if (!key.matches(name)) {
                    faults += SettingsError(child(path, name), "the name '$name'", keyExpected)
                }
                item(child(path, name), element, faults)
            }
        } else {
            faults += SettingsError(path, value.shown(), "a map")
        }
    }

internal fun fields(required: Set<String>, known: Map<String, Checker>): Checker =
    { path, value, faults ->
        if (value is JsonObject) {
            for (name in required - value.keys) {
                faults += SettingsError(child(path, name), "nothing", "a value, it is required")
            }
            for ((name, element) in value) {
                val check = known[name]
                if (check != null) {
                    check(child(path, name), element, faults)
                } else {
                    val names = known.keys.joinToString()
                    faults += SettingsError(child(path, name), "an unknown key", "one of $names")
                }
            }
        } else {
            faults += SettingsError(path, value.shown(), "a map")
        }
    }
