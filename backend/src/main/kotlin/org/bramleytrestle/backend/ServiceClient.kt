package org.bramleytrestle.backend

/** Calls plain services. Each invocation sends the call at most once unless it may be repeated. */
public fun interface ServiceClient {
    public suspend fun call(call: ServiceCall): ServiceOutcome
}
