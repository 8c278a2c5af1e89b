package org.bramleytrestle.standins.engine

import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.coroutines.resume
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine

/**
 * Simulates continuous batching: at most [slots] steps run concurrently, and the duration of a step
 * does not depend on how many others run. Queued steps hold no thread. The step with the lowest
 * priority number runs next.
 */
internal class StepScheduler(private val slots: Int) {
    private class PendingStep(
        val micros: Long,
        val priority: AtomicInteger,
        val continuation: CancellableContinuation<Unit>
    )

    private val lock = Any()
    private val queue = ArrayList<PendingStep>()
    private var active = 0

    val running: Int get() = synchronized(lock) { active }
    val waiting: Int get() = synchronized(lock) { queue.size }

    /** Estimated time until a step submitted now would start. */
    val queueMicros: Long
        get() = synchronized(lock) { if (active < slots) 0 else queue.sumOf { it.micros } / slots }

    suspend fun run(micros: Long, priority: AtomicInteger): Unit =
        suspendCancellableCoroutine { continuation ->
            val step = PendingStep(micros, priority, continuation)
            continuation.invokeOnCancellation { synchronized(lock) { queue.remove(step) } }
            val slotFree = synchronized(lock) {
                if (active < slots) {
                    active++
                    true
                } else {
                    queue.add(step)
                    false
                }
            }
            if (slotFree) start(step)
        }

    private fun start(step: PendingStep) {
        timer.schedule({ finish(step) }, step.micros, TimeUnit.MICROSECONDS)
    }

    private fun finish(step: PendingStep) {
        val next = synchronized(lock) {
            queue.minByOrNull { it.priority.get() }?.also { queue.remove(it) }
                .also { if (it == null) active-- }
        }
        // Two threads run the timer: a step that starts before this one is resumed may end first.
        step.continuation.resume(Unit)
        next?.let(::start)
    }

    private companion object {
        val timer = ScheduledThreadPoolExecutor(2) { task ->
            Thread(task, "standin-steps").apply { isDaemon = true }
        }
    }
}
