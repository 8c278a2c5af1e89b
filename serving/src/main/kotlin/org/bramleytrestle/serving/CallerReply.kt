package org.bramleytrestle.serving

import java.io.IOException
import kotlin.time.Duration
import org.bramleytrestle.model.ErrorKind

/** The answer to one request. Every call throws [CallerDisconnectedException] once the caller cannot be reached. */
public interface CallerReply {
    /** Answers with an error of the node's own. */
    public fun refuse(kind: ErrorKind, detail: String, retryAfter: Duration? = null)

    /** Passes a server's whole answer on. */
    public fun answer(answer: ServerReply.Complete)

    public fun beginStream(head: ServerReply.Stream)

    public fun event(event: StreamEvent)

    public fun endStream()

    /** Breaks the connection so that the answer cannot be taken for complete. */
    public fun abort()

    /** The caller has closed its connection. */
    public class CallerDisconnectedException(cause: IOException) : IOException(cause)
}
