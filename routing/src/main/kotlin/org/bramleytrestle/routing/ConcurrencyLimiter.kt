package org.bramleytrestle.routing

import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/**
 * Limits the attempts of this node on one server. The limit falls by a factor when steps take
 * much longer than the fastest ones or the server refuses for lack of room, and grows by one for
 * each window of normal steps. It stays between one and the attempts that fill the server.
 *
 * Every operation is a compare-and-set loop, so request threads never wait for each other.
 */
internal class ConcurrencyLimiter(slots: Int) {
    /** Attempts in the low half, those of long work in the high half. */
    private val used = AtomicLong()
    private val control = AtomicReference(Control(limit = slots.coerceAtLeast(1).toDouble(), slots))

    private data class Control(
        val limit: Double,
        val slots: Int,
        val fastest: Double = Double.MAX_VALUE,
        val sum: Double = 0.0,
        val measured: Int = 0,
        val events: Int = 0,
        val refusalsToIgnore: Int = 0
    )

    val inFlight: Int get() = total(used.get())
    val limit: Int get() = control.get().limit.toInt()

    fun hasRoom(workClass: WorkClass, reserve: Double): Boolean =
        fits(used.get(), workClass, reserve)

    fun tryAcquire(workClass: WorkClass, reserve: Double): Boolean {
        while (true) {
            val now = used.get()
            if (!fits(now, workClass, reserve)) return false
            if (used.compareAndSet(now, now + unit(workClass))) return true
        }
    }

    fun release(workClass: WorkClass) {
        used.addAndGet(-unit(workClass))
    }

    /** Counts a running short attempt as long from now on, even above the cap of long work. */
    fun demote() {
        used.addAndGet(unit(WorkClass.LONG) - unit(WorkClass.SHORT))
    }

    /**
     * Learns from a part of an attempt that went well. [stepRatio] is its time per token relative
     * to the plan, so that steps of different chains compare; null if none was measured.
     */
    fun succeeded(stepRatio: Double?) {
        val busy = inFlight
        control.updateAndGet { it.after(stepRatio, busy) }
    }

    /** Learns that the server refused an attempt for lack of room. */
    fun refused() {
        control.updateAndGet {
            if (it.refusalsToIgnore > 0) {
                it.copy(refusalsToIgnore = it.refusalsToIgnore - 1)
            } else {
                val lower = (it.limit * DECREASE).coerceAtLeast(1.0)
                it.copy(limit = lower, refusalsToIgnore = lower.toInt())
            }
        }
    }

    /** Takes over the slots of a newer load report. */
    fun onSlots(slots: Int) {
        val bounded = slots.coerceAtLeast(1)
        if (control.get().slots == bounded) return
        control.updateAndGet {
            val full = it.limit >= it.slots
            it.copy(
                limit = if (full) bounded.toDouble() else it.limit.coerceAtMost(bounded.toDouble()),
                slots = bounded
            )
        }
    }

    private fun Control.after(stepRatio: Double?, busy: Int): Control {
        val next = copy(
            fastest = minOf(fastest, stepRatio ?: fastest),
            sum = sum + (stepRatio ?: 0.0),
            measured = measured + if (stepRatio == null) 0 else 1,
            events = events + 1,
            refusalsToIgnore = (refusalsToIgnore - 1).coerceAtLeast(0)
        )
        if (next.events < limit.toInt().coerceAtLeast(MIN_WINDOW)) return next
        val mean = if (next.measured == 0) next.fastest else next.sum / next.measured
        val changed = when {
            mean > next.fastest * SLOW_STEP -> limit * DECREASE
            busy * 2 >= limit -> limit + 1
            else -> limit
        }
        return next.copy(
            limit = changed.coerceIn(1.0, slots.coerceAtLeast(1).toDouble()),
            fastest = (next.fastest * FASTEST_DRIFT).coerceAtMost(Double.MAX_VALUE),
            sum = 0.0,
            measured = 0,
            events = 0
        )
    }

    private fun fits(now: Long, workClass: WorkClass, reserve: Double): Boolean {
        val limit = limit
        if (total(now) >= limit) return false
        return workClass == WorkClass.SHORT || (now ushr HALF).toInt() < longCap(limit, reserve)
    }

    private fun longCap(limit: Int, reserve: Double): Int {
        if (reserve <= 0.0 || limit < 2) return limit
        // At least one slot is reserved and at least one is open, whatever the rounding gives.
        val reserved = (limit * reserve).toInt().coerceIn(1, limit - 1)
        return limit - reserved
    }

    private fun total(now: Long) = (now and LOW_HALF).toInt()

    private fun unit(workClass: WorkClass) =
        if (workClass == WorkClass.LONG) (1L shl HALF) + 1 else 1L

    private companion object {
        const val HALF = 32
        const val LOW_HALF = 0xFFFF_FFFFL
        const val DECREASE = 0.8

        /** Batching alone makes steps slower; only twice the fastest step counts as queueing. */
        const val SLOW_STEP = 2.0

        /** Lets the fastest step rise slowly, so that one lucky sample does not hold forever. */
        const val FASTEST_DRIFT = 1.02
        const val MIN_WINDOW = 4
    }
}
