package org.bramleytrestle.standins.engine

import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.coroutines.resume
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine

/**
 * Continuous batching: at most [slots] steps run at once and each takes its own time regardless of
 * how many run beside it. Waiting steps hold no thread; the lowest priority number is next.
 */
internal class StepScheduler(private val slots: Int) {
    private class Ticket(
        val micros: Long,
        val priority: AtomicInteger,
        val continuation: CancellableContinuation<Unit>
    )

    private val lock = Any()
    private val queue = ArrayList<Ticket>()
    private var active = 0

    val running: Int get() = synchronized(lock) { active }
    val waiting: Int get() = synchronized(lock) { queue.size }

    /** Time until a step that arrives now would start. */
    val queueMicros: Long
        get() = synchronized(lock) { if (active < slots) 0 else queue.sumOf { it.micros } / slots }

    suspend fun run(micros: Long, priority: AtomicInteger): Unit =
        suspendCancellableCoroutine { continuation ->
            val ticket = Ticket(micros, priority, continuation)
            continuation.invokeOnCancellation { synchronized(lock) { queue.remove(ticket) } }
            val starts = synchronized(lock) {
                if (active < slots) {
                    active++
                    true
                } else {
                    queue.add(ticket)
                    false
                }
            }
            if (starts) start(ticket)
        }

    private fun start(ticket: Ticket) {
        timer.schedule({ finish(ticket) }, ticket.micros, TimeUnit.MICROSECONDS)
    }

    private fun finish(ticket: Ticket) {
        val next = synchronized(lock) {
            queue.minByOrNull { it.priority.get() }?.also { queue.remove(it) }
                .also { if (it == null) active-- }
        }
        next?.let(::start)
        ticket.continuation.resume(Unit)
    }

    private companion object {
        val timer = ScheduledThreadPoolExecutor(2) { task ->
            Thread(task, "standin-steps").apply { isDaemon = true }
        }
    }
}
