package org.bramleytrestle.store

import kotlinx.serialization.Serializable

/** Written after all parts of a snapshot, so that a partially written snapshot is never read. */
@Serializable
internal data class SnapshotManifest(val revision: Long, val sha256: String, val parts: Int)
