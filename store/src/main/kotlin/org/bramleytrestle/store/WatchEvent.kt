package org.bramleytrestle.store

/** A change of one object; [deleted] objects carry their last value. */
public data class WatchEvent(val item: StoredObject, val deleted: Boolean = false)
