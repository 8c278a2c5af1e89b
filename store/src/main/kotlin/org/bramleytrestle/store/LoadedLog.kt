package org.bramleytrestle.store

import kotlinx.serialization.json.JsonObject
import org.bramleytrestle.settings.Change

/**
 * Result of [ChangeLog.load].
 *
 * @property revision revision of the snapshot, or 0 if there is none.
 * @property tree settings at [revision]; empty if there is no snapshot.
 * @property changes all changes after [revision].
 */
public data class LoadedLog(val revision: Long, val tree: JsonObject, val changes: List<Change>)
