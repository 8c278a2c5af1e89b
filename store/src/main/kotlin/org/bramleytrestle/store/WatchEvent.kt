package org.bramleytrestle.store

/** A change of one object. The event of a [deleted] object contains its last value. */
public data class WatchEvent(val item: StoredObject, val deleted: Boolean = false)
