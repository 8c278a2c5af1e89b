package org.bramleytrestle.http

/** A peer sent more bytes than an answer to the request can have. */
public class OversizedBodyException(what: String, maxBytes: Long) :
    UnsoundAnswerException("$what: got over $maxBytes bytes")
