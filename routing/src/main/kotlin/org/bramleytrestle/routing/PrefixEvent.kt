package org.bramleytrestle.routing

/** An engine stored (or, if not [stored], evicted) the prompt prefix [prefixHash]. */
public data class PrefixEvent(val sequence: Long, val prefixHash: Long, val stored: Boolean)
