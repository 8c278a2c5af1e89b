package org.bramleytrestle.serving

/** Work for a request that the [Watchdog] may end from its own thread. */
public fun interface Cancellable {
    public fun cancel()
}
