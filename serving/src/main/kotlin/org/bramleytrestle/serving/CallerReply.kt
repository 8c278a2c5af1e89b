package org.bramleytrestle.serving

import java.io.IOException
import kotlin.time.Duration
import org.bramleytrestle.model.ErrorKind

/**
 * Writes the response to one request. Every method throws [CallerDisconnectedException] once the
 * caller's connection has failed.
 */
public interface CallerReply {
    /** Answers with an error that this node generates. */
    public fun refuse(kind: ErrorKind, detail: String, retryAfter: Duration? = null)

    /** Forwards a server's complete response. */
    public fun answer(answer: ServerReply.Complete)

    public fun beginStream(head: ServerReply.Stream)

    public fun event(event: StreamEvent)

    public fun endStream()

    /** Closes the connection abruptly so that a truncated response does not look complete. */
    public fun abort()

    /** Thrown if the caller has closed its connection. */
    public class CallerDisconnectedException(cause: IOException) : IOException(cause)
}
