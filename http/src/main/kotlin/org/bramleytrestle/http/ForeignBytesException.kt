package org.bramleytrestle.http

/** A peer sent bytes that belong to no request of this connection. */
public class ForeignBytesException(message: String) : UnsoundAnswerException(message)
