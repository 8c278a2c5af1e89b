package org.bramleytrestle.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Measured service rate of a target by class. The caller holds the lock of the target. */
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

    /** Learns that work charged with [tokens] held its slots for [held]. */
    fun learnHold(workClass: WorkClass, held: Duration, tokens: Int) {
        val load = classes.getValue(workClass)
        val sample = held.toDouble(DurationUnit.SECONDS) / tokens.coerceAtLeast(1)
        load.secondsPerToken = when (load.secondsPerToken) {
            0.0 -> sample
            else -> load.secondsPerToken + (sample - load.secondsPerToken) * GAIN
        }
    }

    /** Learns how far the plan's cost is from the time that a whole answer took. */
    fun learnPlan(workClass: WorkClass, took: Duration, planned: Duration) {
        if (planned <= Duration.ZERO) return
        val load = classes.getValue(workClass)
        val sample = (took / planned).coerceIn(1 / MAX_RATIO, MAX_RATIO)
        load.planRatio += (sample - load.planRatio) * GAIN
    }

    /** Time until [tokensAhead] have been served at the measured rate. */
    fun wait(workClass: WorkClass, tokensAhead: Double): Duration {
        val load = classes.getValue(workClass)
        return (tokensAhead * load.secondsPerToken / load.running.coerceAtLeast(1)).seconds
    }

    /** Time that [plan] needs for [tokens] generated tokens, corrected by experience. */
    fun run(workClass: WorkClass, plan: ChainPlan, tokens: Int): Duration =
        cost(plan, tokens) * classes.getValue(workClass).planRatio

    companion object {
        /** Weight of a new sample; about the last ten completions count. */
        private const val GAIN = 0.1
        private const val MAX_RATIO = 10.0

        fun cost(plan: ChainPlan, tokens: Int): Duration =
            (plan.firstTokenMicros + plan.tokenMicros * (tokens - 1).coerceAtLeast(0)).microseconds
    }
}
