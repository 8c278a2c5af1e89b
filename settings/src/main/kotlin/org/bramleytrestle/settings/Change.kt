package org.bramleytrestle.settings

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/**
 * An accepted change to the settings, which is also its audit log entry.
 *
 * @property revision position in the total order of changes, starting at 1.
 * @property changeId chosen by the author, to tell a lost response from a conflicting change.
 * @property patch JSON merge patch (RFC 7396) against the document at [revision] - 1.
 * @property undo patch that restores the document at [revision] - 1, so that a rollback does not
 * need the complete history.
 */
@Serializable
public data class Change(
    val revision: Long,
    val changeId: String,
    val author: String,
    val reason: String,
    val timeMillis: Long,
    val patch: JsonObject,
    val undo: JsonObject = JsonObject(emptyMap())
)
