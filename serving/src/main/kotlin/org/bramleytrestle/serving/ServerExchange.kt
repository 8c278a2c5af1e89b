package org.bramleytrestle.serving

/** A single request to a server and its response. */
public interface ServerExchange : Cancellable {
    /** Sends the request and blocks until the response, or the head of the stream, arrives. */
    public fun await(): ServerReply

    /** Cancels the exchange from another thread; the server sees its connection closed. */
    override fun cancel()

    /** Releases the connection. */
    public fun close()
}
