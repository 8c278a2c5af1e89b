package org.bramleytrestle.settings

import kotlinx.serialization.Serializable

/** A validation error: the path, the value found there and what was expected. */
@Serializable
public data class SettingsError(val path: String, val value: String, val expected: String) {
    override fun toString(): String = "$path: got $value, expected $expected"
}
