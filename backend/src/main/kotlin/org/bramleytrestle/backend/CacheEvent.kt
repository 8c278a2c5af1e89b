package org.bramleytrestle.backend

/** An engine stored or evicted a prompt prefix. Only a hint: events can be late or missing. */
public data class CacheEvent(val sequence: Long, val prefixHash: Long, val stored: Boolean)
