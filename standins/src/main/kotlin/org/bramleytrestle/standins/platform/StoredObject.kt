package org.bramleytrestle.standins.platform

import kotlinx.serialization.json.JsonElement

/** An object in the store with its current version. */
public data class StoredObject(val name: String, val version: Long, val value: JsonElement)
