package org.bramleytrestle.http

import java.net.ProtocolException

/** A peer sent bytes that are not a sound answer to the request. */
public open class UnsoundAnswerException(message: String) : ProtocolException(message)
