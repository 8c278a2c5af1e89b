package org.bramleytrestle.routing

import java.util.concurrent.atomic.AtomicInteger

/**
 * Counts how often this node chose a server since a report of it was taken. Outlives snapshots.
 *
 * A report lags by up to about one report interval, so the choices of the interval before the
 * newest report still count: they may have happened after that report was taken.
 */
internal class RecentChoices {
    private val sinceReport = AtomicInteger()

    @Volatile private var intervalBefore = 0
    private var sequence = Long.MIN_VALUE

    fun chosen() {
        sinceReport.incrementAndGet()
    }

    fun unreported(): Int = sinceReport.get() + intervalBefore

    /**
     * Starts a new interval when [newest] is another report. Called by the publisher only. A lower
     * number is the first report of a restarted server.
     */
    fun reported(newest: Long) {
        if (newest == sequence) return
        sequence = newest
        intervalBefore = sinceReport.getAndSet(0)
    }
}
