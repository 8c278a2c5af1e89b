package org.bramleytrestle.serving

/** A customer and the keys that authenticate it. */
public data class Organisation(val name: String, val keys: Set<String>, val priority: Int? = null)
