package org.bramleytrestle.node.settings

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/**
 * Body of an operator's change.
 *
 * @property baseRevision revision the operator looked at; another one in force is a conflict.
 * @property changeId chosen by the operator, so that a repeat after a lost answer is recognised.
 */
@Serializable
internal data class ChangeRequest(
    val baseRevision: Long,
    val changeId: String,
    val reason: String,
    val patch: JsonObject
)
