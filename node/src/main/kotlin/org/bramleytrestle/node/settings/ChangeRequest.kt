package org.bramleytrestle.node.settings

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/**
 * Body of `POST /admin/changes`.
 *
 * @property baseRevision revision the patch is based on; a conflict unless it is the current one.
 * @property changeId chosen by the operator, so that a retry after a lost response is recognised.
 */
@Serializable
internal data class ChangeRequest(
    val baseRevision: Long,
    val changeId: String,
    val reason: String,
    val patch: JsonObject
)
