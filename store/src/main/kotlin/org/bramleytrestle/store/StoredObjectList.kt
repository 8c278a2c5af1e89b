package org.bramleytrestle.store

/** Objects of one kind, and the version from which a watch continues without a gap. */
public data class StoredObjectList(val version: Long, val items: List<StoredObject>)
