package org.bramleytrestle.store

import kotlinx.serialization.json.JsonElement

/** One object of the platform with the version that a conditional write must name. */
public data class StoredObject(
    val kind: String,
    val name: String,
    val version: Long,
    val value: JsonElement
)
