package org.bramleytrestle.settings

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/**
 * One accepted change of the settings and its entry in the audit trail.
 *
 * @property revision place in the total order; the first change has revision 1.
 * @property changeId chosen by the author, so that a lost answer can be told from a lost race.
 * @property patch JSON merge patch (RFC 7396) against the document at [revision] - 1.
 * @property undo patch that restores the document before this change, so that a rollback does not
 * need the whole history.
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
