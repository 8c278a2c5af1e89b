package org.bramleytrestle.standins.engine

import kotlinx.serialization.Serializable

/** A generated token. Concatenating [text] over all tokens gives the text of the answer. */
@Serializable
public data class Token(val id: Int, val text: String)
