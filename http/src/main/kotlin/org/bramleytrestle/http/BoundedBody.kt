package org.bramleytrestle.http

import java.io.IOException
import okhttp3.Response
import okio.BufferedSource

/**
 * Reads the body of an answer of at most [maxBytes] bytes.
 *
 * @throws OversizedBodyException if it is longer; nothing of it is kept then.
 * @throws IOException if it is not complete.
 */
public fun Response.boundedText(maxBytes: Long): String {
    val source = body.source()
    if (source.request(maxBytes + 1)) throw OversizedBodyException("a body", maxBytes)
    return source.readUtf8()
}

/**
 * Reads a line of at most [maxBytes] bytes with its end; null at the end of the source.
 *
 * @throws OversizedBodyException if it is longer.
 * @throws IOException if it has no end.
 */
public fun BufferedSource.boundedLine(maxBytes: Long): String? {
    if (exhausted()) return null
    if (indexOf(LINE_FEED, 0, maxBytes) < 0 && request(maxBytes)) {
        throw OversizedBodyException("a line", maxBytes)
    }
    return readUtf8LineStrict(maxBytes)
}

private const val LINE_FEED = '\n'.code.toByte()
