package org.bramleytrestle.routing

import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Bounds the retries of one service to a fraction of its first attempts in a sliding window, so
 * that failures under overload do not multiply the load.
 */
public class RetryBudget(clock: TimeSource.WithComparableMarks) {
    private val start = clock.markNow()
    private val firstAttempts = IntArray(SLOTS)
    private val retries = IntArray(SLOTS)
    private val resumptions = IntArray(SLOTS)
    private var newestSlot = 0L

    /** First attempts in the window. */
    public val firstCount: Int
        @Synchronized get() {
            slot()
            return firstAttempts.sum()
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
        if (retries.sum() >= firstAttempts.sum() * fraction + minRetries) return false
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
        if (resumptions.sum() >= firstAttempts.sum() + running + MIN_RETRIES) return false
        resumptions[slot]++
        return true
    }

    private fun slot(): Int {
        val now = start.elapsedNow().inWholeMilliseconds / SLOT.inWholeMilliseconds
        val from = maxOf(newestSlot + 1, now - SLOTS + 1)
        for (elapsedSlot in from..now) {
            val index = (elapsedSlot % SLOTS).toInt()
            firstAttempts[index] = 0
            retries[index] = 0
            resumptions[index] = 0
        }
        newestSlot = maxOf(newestSlot, now)
        return (newestSlot % SLOTS).toInt()
    }

    private companion object {
        const val SLOTS = 10
        val SLOT = 1.seconds

        /** Retries per window that are always allowed, for services with little traffic. */
        const val MIN_RETRIES = 3
    }
}
