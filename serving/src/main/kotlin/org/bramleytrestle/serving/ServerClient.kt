package org.bramleytrestle.serving

/** HTTP client for backend servers. */
public fun interface ServerClient {
    public fun open(call: ServerCall): ServerExchange
}
