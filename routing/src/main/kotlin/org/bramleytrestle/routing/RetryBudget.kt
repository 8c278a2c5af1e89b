package org.bramleytrestle.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Bounds the retries of one service to a fraction of its first attempts in a sliding window, so
 * that failures under overload do not multiply the load.
 *
 * Attempts are counted in slots. Retries count for at least [window] and first attempts for at most
 * [window], so the bound holds in every interval of this length wherever the slots begin.
 */
public class RetryBudget(
    clock: TimeSource.WithComparableMarks,
    private val window: Duration = DEFAULT_WINDOW
) {
    private val start = clock.markNow()
    private val firstAttempts = IntArray(SLOTS + 1)
    private val retries = IntArray(SLOTS + 1)
    private val resumptions = IntArray(SLOTS + 1)
    private var newestSlot = 0L

    /** First attempts in the window. */
    public val firstCount: Int
        @Synchronized get() {
            slot()
            return countFirsts()
        }

    /** Retries in the window. */
    public val retryCount: Int
        @Synchronized get() {
            slot()
            return retries.sum()
        }

    @Synchronized
    public fun recordFirstAttempt() {
        firstAttempts[slot()]++
    }

    /** Uses one retry if the window allows it: [fraction] per first attempt, plus [minRetries]. */
    @Synchronized
    public fun tryRetry(fraction: Double, minRetries: Int = MIN_RETRIES): Boolean {
        val slot = slot()
        if (retries.sum() >= countFirsts() * fraction + minRetries) return false
        retries[slot]++
        return true
    }

    /**
     * Uses one resumption of a stream if the window allows it: one per first attempt and per
     * [running] attempt, plus [MIN_RETRIES]. Resumptions have a budget of their own, so that
     * retries of new work cannot exhaust it.
     */
    @Synchronized
    internal fun tryResume(running: Int): Boolean {
        val slot = slot()
        if (resumptions.sum() >= countFirsts() + running + MIN_RETRIES) return false
        resumptions[slot]++
        return true
    }

    /** Leaves out the oldest slot, which may have begun before the window. */
    private fun countFirsts(): Int =
        firstAttempts.sum() - firstAttempts[((newestSlot + 1) % firstAttempts.size).toInt()]

    /** Index of the current slot; clears the slots that have begun since the last call. */
    private fun slot(): Int {
        val now = (start.elapsedNow() / window * SLOTS).toLong()
        val length = firstAttempts.size
        val from = maxOf(newestSlot + 1, now - length + 1)
        for (elapsedSlot in from..now) {
            val index = (elapsedSlot % length).toInt()
            firstAttempts[index] = 0
            retries[index] = 0
            resumptions[index] = 0
        }
        newestSlot = maxOf(newestSlot, now)
        return (newestSlot % length).toInt()
    }

    public companion object {
        public val DEFAULT_WINDOW: Duration = 10.seconds

        /** Slots in a window; one more is kept. */
        private const val SLOTS = 10

        /** Retries per window that are always allowed, for services with little traffic. */
        private const val MIN_RETRIES = 3
    }
}
