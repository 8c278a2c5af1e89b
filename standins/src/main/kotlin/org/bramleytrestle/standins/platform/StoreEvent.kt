package org.bramleytrestle.standins.platform

/** A change of an object; [before] is null for a creation and [after] for a deletion. */
public data class StoreEvent(
    val version: Long,
    val atMillis: Long,
    val before: StoredObject?,
    val after: StoredObject?
)
