package org.bramleytrestle.serving

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What one node knows of the store objects of one kind, in answer to another node's question.
 *
 * @property version store version up to which the node knows all changes. Nodes of releases whose
 * versions are revisions name it differently, so that neither takes the other for a source.
 * @property ageMillis time since the store confirmed that; null if it never did.
 * @property failing whether the node does not read the store itself or its last call failed.
 * @property graceMillis time for which entries that are missing after a store outage still count.
 * @property complete whether [items] are all objects instead of the changes since the question's
 * version.
 */
@Serializable
internal data class RelayedKind(
    val kind: String,
    @SerialName("storeVersion") val version: Long,
    val ageMillis: Long?,
    val failing: Boolean,
    val graceMillis: Long = 0,
    val complete: Boolean = false,
    val items: List<RelayedItem> = emptyList()
)
