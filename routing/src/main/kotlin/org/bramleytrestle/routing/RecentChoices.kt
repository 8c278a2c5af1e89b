package org.bramleytrestle.routing

import java.util.concurrent.atomic.AtomicInteger

/**
 * Counts how often this node has chosen a server since the server's last load report. The counts
 * are kept across snapshots.
 *
 * A report lags by up to about one report interval, so choices made in the interval before the
 * newest report are counted too: they may have been made after the report was taken.
 */
internal class RecentChoices {
    private val sinceReport = AtomicInteger()

    @Volatile private var previousInterval = 0
    private var sequence = Long.MIN_VALUE

    fun record() {
        sinceReport.incrementAndGet()
    }

    /** Choices that the newest report may not include. */
    fun unreported(): Int = sinceReport.get() + previousInterval

    /**
     * Starts a new interval if [reportSequence] differs from that of the last report. A lower
     * number is accepted as well, because a restarted server counts from the start again. Must be
     * called by the publishing thread only.
     */
    fun onReport(reportSequence: Long) {
        if (reportSequence == sequence) return
        sequence = reportSequence
        previousInterval = sinceReport.getAndSet(0)
    }
}
