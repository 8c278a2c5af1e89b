package org.bramleytrestle.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Measured service rate of a target by class. Not thread-safe; the caller must hold the lock of the
 * target.
 */
internal class TargetLoad {
    private val classes = WorkClass.entries.associateWith { ClassLoad() }

    private class ClassLoad {
        var running = 0
        var secondsPerToken = 0.0
        var planRatio = 1.0
    }

    val running: Int get() = classes.values.sumOf { it.running }

    fun started(workClass: WorkClass) {
        classes.getValue(workClass).running++
    }

    fun ended(workClass: WorkClass) {
        classes.getValue(workClass).running--
    }

    /** Records that work charged with [tokens] occupied its slots for [elapsed]. */
    fun recordServiceTime(workClass: WorkClass, elapsed: Duration, tokens: Int) {
        val load = classes.getValue(workClass)
        val sample = elapsed.toDouble(DurationUnit.SECONDS) / tokens.coerceAtLeast(1)
        load.secondsPerToken = when (load.secondsPerToken) {
            0.0 -> sample
            else -> load.secondsPerToken + (sample - load.secondsPerToken) * SAMPLE_WEIGHT
        }
    }

    /** Records the ratio of the time that a whole answer took to the time [planned] for it. */
    fun recordPlanRatio(workClass: WorkClass, elapsed: Duration, planned: Duration) {
        if (planned <= Duration.ZERO) return
        val load = classes.getValue(workClass)
        val sample = (elapsed / planned).coerceIn(1 / MAX_RATIO, MAX_RATIO)
        load.planRatio += (sample - load.planRatio) * SAMPLE_WEIGHT
    }

    /** Expected time until [tokensAhead] have been served at the measured rate. */
    fun waitTime(workClass: WorkClass, tokensAhead: Double): Duration {
        val load = classes.getValue(workClass)
        return (tokensAhead * load.secondsPerToken / load.running.coerceAtLeast(1)).seconds
    }

    /** Expected time for [plan] to generate [tokens], corrected by the measured ratio. */
    fun runTime(workClass: WorkClass, plan: ChainPlan, tokens: Int): Duration =
        plannedTime(plan, tokens) * classes.getValue(workClass).planRatio

    companion object {
        /** Weight of a new sample in the moving averages, which span about ten completions. */
        private const val SAMPLE_WEIGHT = 0.1
        private const val MAX_RATIO = 10.0

        /** Planned time for [plan] to generate [tokens]. */
        fun plannedTime(plan: ChainPlan, tokens: Int): Duration =
            (plan.firstTokenMicros + plan.tokenMicros * (tokens - 1).coerceAtLeast(0)).microseconds
    }
}
