package org.bramleytrestle.store

/** Events of one kind, and the version from which the next watch continues without a gap. */
public data class WatchBatch(val version: Long, val events: List<WatchEvent>)
