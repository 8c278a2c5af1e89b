package org.bramleytrestle.http

/** What ends the body of an answer. */
internal sealed interface BodyEnd {
    /** The body has [bytes] bytes; an answer without a body has 0. */
    data class Length(val bytes: Long) : BodyEnd

    /** The body ends with an empty chunk and its trailer fields. */
    data object LastChunk : BodyEnd

    /** The body ends when the peer closes the connection in the ordinary way. */
    data object Close : BodyEnd
}
