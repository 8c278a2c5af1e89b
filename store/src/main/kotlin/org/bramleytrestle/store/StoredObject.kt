package org.bramleytrestle.store

import kotlinx.serialization.json.JsonElement

/**
 * An object in the platform's store and its version, which a conditional write must specify.
 *
 * @property version a [StoreVersion], if the store may come back from an older copy.
 */
public data class StoredObject(
    val kind: String,
    val name: String,
    val version: Long,
    val value: JsonElement
)
