package org.bramleytrestle.routing

import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/**
 * Limits the concurrent attempts of this node on one server by additive increase and multiplicative
 * decrease. The limit is multiplied by a factor below one when steps take much longer than the
 * fastest ones or when the server refuses an attempt for lack of capacity. It grows by one after
 * each window of normal steps if at least half of it is in use. It stays between one and the number
 * of attempts that keeps the server busy.
 *
 * Lock-free: every operation is a compare-and-set loop.
 */
internal class ConcurrencyLimiter(maxLimit: Int) {
    /** The low 32 bits count all attempts in flight, the high 32 bits those of long work. */
    private val counts = AtomicLong()
    private val state =
        AtomicReference(State(limit = maxLimit.coerceAtLeast(1).toDouble(), maxLimit))

    /** [stepRatioSum], [stepRatioCount] and [completions] cover the current window. */
    private data class State(
        val limit: Double,
        val maxLimit: Int,
        val minStepRatio: Double = Double.MAX_VALUE,
        val stepRatioSum: Double = 0.0,
        val stepRatioCount: Int = 0,
        val completions: Int = 0,
        val refusalsToIgnore: Int = 0
    )

    val inFlight: Int get() = total(counts.get())
    val limit: Int get() = state.get().limit.toInt()

    fun hasCapacity(workClass: WorkClass, reserve: Double): Boolean =
        canAdmit(counts.get(), workClass, reserve)

    fun tryAcquire(workClass: WorkClass, reserve: Double): Boolean {
        while (true) {
            val current = counts.get()
            if (!canAdmit(current, workClass, reserve)) return false
            if (counts.compareAndSet(current, current + increment(workClass))) return true
        }
    }

    fun release(workClass: WorkClass) {
        counts.addAndGet(-increment(workClass))
    }

    /** Reclassifies a running short attempt as long, even if that exceeds the cap of long work. */
    fun demote() {
        counts.addAndGet(increment(WorkClass.LONG) - increment(WorkClass.SHORT))
    }

    /**
     * Records a successful part of an attempt. [stepRatio] is its time per token relative to the
     * planned time, which makes steps of different chains comparable; null if not measured.
     */
    fun onSuccess(stepRatio: Double?) {
        val inFlight = this.inFlight
        state.updateAndGet { it.afterSuccess(stepRatio, inFlight) }
    }

    /** Records that the server refused an attempt for lack of capacity. */
    fun onOverloaded() {
        state.updateAndGet {
            if (it.refusalsToIgnore > 0) {
                it.copy(refusalsToIgnore = it.refusalsToIgnore - 1)
            } else {
                val lowered = (it.limit * DECREASE_FACTOR).coerceAtLeast(1.0)
                it.copy(limit = lowered, refusalsToIgnore = lowered.toInt())
            }
        }
    }

    /** Applies the maximum that follows from a newer load report. */
    fun updateMaxLimit(maxLimit: Int) {
        val bounded = maxLimit.coerceAtLeast(1)
        if (state.get().maxLimit == bounded) return
        state.updateAndGet {
            val atMaximum = it.limit >= it.maxLimit
            val maximum = bounded.toDouble()
            it.copy(
                limit = if (atMaximum) maximum else it.limit.coerceAtMost(maximum),
                maxLimit = bounded
            )
        }
    }

    private fun State.afterSuccess(stepRatio: Double?, inFlight: Int): State {
        val next = copy(
            minStepRatio = minOf(minStepRatio, stepRatio ?: minStepRatio),
            stepRatioSum = stepRatioSum + (stepRatio ?: 0.0),
            stepRatioCount = stepRatioCount + if (stepRatio == null) 0 else 1,
            completions = completions + 1,
            refusalsToIgnore = (refusalsToIgnore - 1).coerceAtLeast(0)
        )
        if (next.completions < limit.toInt().coerceAtLeast(MIN_WINDOW)) return next
        val meanStepRatio = if (next.stepRatioCount == 0) {
            next.minStepRatio
        } else {
            next.stepRatioSum / next.stepRatioCount
        }
        val newLimit = when {
            meanStepRatio > next.minStepRatio * SLOW_STEP_FACTOR -> limit * DECREASE_FACTOR
            inFlight * 2 >= limit -> limit + 1
            else -> limit
        }
        return next.copy(
            limit = newLimit.coerceIn(1.0, maxLimit.coerceAtLeast(1).toDouble()),
            minStepRatio = (next.minStepRatio * MIN_STEP_RATIO_GROWTH)
                .coerceAtMost(Double.MAX_VALUE),
            stepRatioSum = 0.0,
            stepRatioCount = 0,
            completions = 0
        )
    }

    private fun canAdmit(current: Long, workClass: WorkClass, reserve: Double): Boolean {
        val limit = limit
        if (total(current) >= limit) return false
        return workClass == WorkClass.SHORT ||
            (current ushr LONG_SHIFT).toInt() < longCap(limit, reserve)
    }

    private fun longCap(limit: Int, reserve: Double): Int {
        if (reserve <= 0.0 || limit < 2) return limit
        // Whatever the rounding, at least one slot is reserved and at least one is not.
        val reserved = (limit * reserve).toInt().coerceIn(1, limit - 1)
        return limit - reserved
    }

    private fun total(current: Long) = (current and TOTAL_MASK).toInt()

    private fun increment(workClass: WorkClass) =
        if (workClass == WorkClass.LONG) (1L shl LONG_SHIFT) + 1 else 1L

    private companion object {
        const val LONG_SHIFT = 32
        const val TOTAL_MASK = 0xFFFF_FFFFL
        const val DECREASE_FACTOR = 0.8

        /** Batching alone slows steps down, so only twice the fastest step counts as queueing. */
        const val SLOW_STEP_FACTOR = 2.0

        /** Raises the minimum slowly, so that a single unusually fast sample does not persist. */
        const val MIN_STEP_RATIO_GROWTH = 1.02
        const val MIN_WINDOW = 4
    }
}
