package org.bramleytrestle.store

import kotlinx.serialization.json.JsonElement

/** An object in the platform's store and its version, which a conditional write must specify. */
public data class StoredObject(
    val kind: String,
    val name: String,
    val version: Long,
    val value: JsonElement
)
