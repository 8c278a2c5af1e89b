package org.bramleytrestle.settings

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/** Adds all errors of a value to a list, so that a single pass reports every error. */
internal typealias Validator = (
    path: String,
    value: JsonElement,
    errors: MutableList<SettingsError>
) -> Unit

private fun JsonElement.description(): String = when (this) {
    is JsonObject -> "a map"
    is JsonArray -> "a list"
    else -> toString()
}

private fun primitive(expected: String, valid: (JsonPrimitive) -> Boolean): Validator =
    { path, value, errors ->
        if (value !is JsonPrimitive || !valid(value)) {
            errors += SettingsError(path, value.description(), expected)
        }
    }

internal fun childPath(path: String, key: String): String =
    if (path.isEmpty()) key else "$path.$key"

internal fun decimal(expected: String, valid: (Double) -> Boolean): Validator =
    primitive(expected) { it.doubleOrNull?.let(valid) ?: false }

internal fun integer(range: LongRange): Validator =
    primitive("an integer from ${range.first} to ${range.last}") { it.longOrNull in range }

internal fun boolean(): Validator = primitive("true or false") { it.booleanOrNull != null }

internal fun oneOf(vararg allowed: String): Validator =
    primitive("one of ${allowed.joinToString()}") { it.content in allowed }

internal fun string(pattern: Regex, expected: String): Validator =
    primitive(expected) { pattern.matches(it.content) }

internal fun list(item: Validator): Validator = { path, value, errors ->
    if (value is JsonArray) {
        value.forEachIndexed { i, element -> item("$path[$i]", element, errors) }
    } else {
        errors += SettingsError(path, value.description(), "a list")
    }
}

internal fun map(keyPattern: Regex, keyExpected: String, item: Validator): Validator =
    { path, value, errors ->
        if (value is JsonObject) {
            for ((name, element) in value) {
                if (!keyPattern.matches(name)) {
                    errors += SettingsError(childPath(path, name), "the name '$name'", keyExpected)
                }
                item(childPath(path, name), element, errors)
            }
        } else {
            errors += SettingsError(path, value.description(), "a map")
        }
    }

internal fun fields(required: Set<String>, known: Map<String, Validator>): Validator =
    { path, value, errors ->
        if (value is JsonObject) {
            for (name in required - value.keys) {
                errors += SettingsError(childPath(path, name), "nothing", "a value (required)")
            }
            for ((name, element) in value) {
                val validator = known[name]
                if (validator != null) {
                    validator(childPath(path, name), element, errors)
                } else {
                    val names = known.keys.joinToString()
                    errors +=
                        SettingsError(childPath(path, name), "an unknown key", "one of $names")
                }
            }
        } else {
            errors += SettingsError(path, value.description(), "a map")
        }
    }
