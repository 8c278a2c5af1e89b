package org.bramleytrestle.routing

import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Bounds the retries of one service to a fraction of its first attempts over a sliding window.
 * Without it every failure under overload would add load.
 */
public class RetryBudget(clock: TimeSource.WithComparableMarks) {
    private val start = clock.markNow()
    private val firsts = IntArray(SLOTS)
    private val retries = IntArray(SLOTS)
    private val recoveries = IntArray(SLOTS)
    private var newest = 0L

    @Synchronized
    public fun countFirst() {
        firsts[slot()]++
    }

    /** Takes one retry, if the window allows [fraction] per first attempt and [floor] besides. */
    @Synchronized
    public fun tryRetry(fraction: Double, floor: Int = FLOOR): Boolean {
        val slot = slot()
        if (retries.sum() >= firsts.sum() * fraction + floor) return false
        retries[slot]++
        return true
    }

    /**
     * Allows the resumption of a stream. It draws on its own budget, so that retries of new work
     * cannot exhaust it: each running stream and each first attempt allows one resumption.
     */
    @Synchronized
    internal fun tryRecovery(running: Int): Boolean {
        val slot = slot()
        if (recoveries.sum() >= firsts.sum() + running + FLOOR) return false
        recoveries[slot]++
        return true
    }

    private fun slot(): Int {
        val now = start.elapsedNow().inWholeMilliseconds / SLOT.inWholeMilliseconds
        val from = maxOf(newest + 1, now - SLOTS + 1)
        for (passed in from..now) {
            val index = (passed % SLOTS).toInt()
            firsts[index] = 0
            retries[index] = 0
            recoveries[index] = 0
        }
        newest = maxOf(newest, now)
        return (newest % SLOTS).toInt()
    }

    private companion object {
        const val SLOTS = 10
        val SLOT = 1.seconds

        /** Retries per window that a service with little traffic may have in any case. */
        const val FLOOR = 3
    }
}
