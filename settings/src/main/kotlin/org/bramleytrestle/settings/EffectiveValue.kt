package org.bramleytrestle.settings

import kotlinx.serialization.Serializable

/** An effective value and the level that sets it: a scope of the tree, or `built-in`. */
@Serializable
public data class EffectiveValue(val key: String, val value: String, val setBy: String)
