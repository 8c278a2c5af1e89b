package org.bramleytrestle.standins.engine

import kotlinx.serialization.Serializable

/** One generated token; [text] is such that the concatenation of an answer can be checked. */
@Serializable
public data class Token(val id: Int, val text: String)
