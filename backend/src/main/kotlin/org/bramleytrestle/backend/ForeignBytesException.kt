package org.bramleytrestle.backend

import java.net.ProtocolException

/** A server sent bytes that belong to no request of this connection. */
public class ForeignBytesException(message: String) : ProtocolException(message)
