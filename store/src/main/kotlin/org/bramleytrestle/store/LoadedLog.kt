package org.bramleytrestle.store

import kotlinx.serialization.json.JsonObject
import org.bramleytrestle.settings.Change

/** The settings [tree] at [revision], from a snapshot or empty, and the [changes] after it. */
public data class LoadedLog(val revision: Long, val tree: JsonObject, val changes: List<Change>)
