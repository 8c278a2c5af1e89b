package org.bramleytrestle.store

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Creates the leases of one process.
 *
 * @param holder unique per process start, so that a restarted process does not treat a lease of its
 * previous run as its own.
 * @param maxOrderDuration longest time after its start in which an order can take effect.
 * @param isPreviousRun whether a holder is an earlier run of this process. Its lease can be taken
 * over before it expires.
 */
public class LeaseManager(
    private val store: ObjectStore,
    private val holder: String,
    private val duration: Duration = 10.seconds,
    private val maxOrderDuration: Duration = 2.seconds,
    private val timeSource: TimeSource = TimeSource.Monotonic,
    private val isPreviousRun: (holder: String) -> Boolean = { false }
) {
    public fun lease(name: String): Lease =
        Lease(store, name, holder, duration, maxOrderDuration, timeSource, isPreviousRun)
}
