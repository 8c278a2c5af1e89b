package org.bramleytrestle.store

/** Changes of one kind and the version from which the next watch continues without a gap. */
public data class ChangeBatch(val version: Long, val events: List<WatchEvent>)
