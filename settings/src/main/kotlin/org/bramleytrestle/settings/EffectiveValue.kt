package org.bramleytrestle.settings

import kotlinx.serialization.Serializable

/** A value in force and the level of the tree that sets it: a scope, or `built-in`. */
@Serializable
public data class EffectiveValue(val key: String, val value: String, val setBy: String)
