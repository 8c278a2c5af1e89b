package org.bramleytrestle.backend

/** An engine stored or evicted a prompt prefix; late and with gaps, so only a hint. */
public data class CacheEvent(val sequence: Long, val prefixHash: Long, val stored: Boolean)
