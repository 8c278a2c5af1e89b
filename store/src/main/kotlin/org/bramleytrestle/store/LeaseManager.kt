package org.bramleytrestle.store

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Creates the leases of one process.
 *
 * @param holder unique per process start, so that a restarted process does not take itself for
 * the holder of a lease that it forgot.
 * @param endedRun whether a holder is an earlier run of this process, whose lease need not lapse.
 * @param orderBound longest time after its start in which an order can take effect.
 */
public class LeaseManager(
    private val store: ObjectStore,
    private val holder: String,
    private val duration: Duration = 10.seconds,
    private val orderBound: Duration = 2.seconds,
    private val timeSource: TimeSource = TimeSource.Monotonic,
    private val endedRun: (holder: String) -> Boolean = { false }
) {
    public fun lease(name: String): Lease =
        Lease(store, name, holder, duration, orderBound, timeSource, endedRun)
}
