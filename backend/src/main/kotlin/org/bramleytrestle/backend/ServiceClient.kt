package org.bramleytrestle.backend

/** Sends calls to plain services, each at most once per invocation unless it may be repeated. */
public fun interface ServiceClient {
    public suspend fun call(call: ServiceCall): ServiceOutcome
}
