package org.bramleytrestle.serving

/** Opens exchanges with backend servers. */
public fun interface ServerClient {
    public fun open(call: ServerCall): ServerExchange
}
