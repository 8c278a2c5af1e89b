package org.bramleytrestle.serving

/** One request at one server. */
public interface ServerExchange {
    /** Sends the request and waits for the answer or for the head of the stream. */
    public fun await(): ServerReply

    /** Ends the exchange from another thread; the server learns it by the closed connection. */
    public fun cancel()

    /** Releases the connection. */
    public fun close()
}
