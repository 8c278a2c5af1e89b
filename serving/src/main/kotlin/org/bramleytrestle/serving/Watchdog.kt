package org.bramleytrestle.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import org.bramleytrestle.model.guardedBlocking

/**
 * Cancels exchanges whose deadline has passed, whose caller has disconnected or whose server has
 * stalled. A single thread checks all requests, so threads blocked on servers need no timers.
 */
public class Watchdog(private val now: () -> Moment = Moment::now) : AutoCloseable {
    private val active = ConcurrentHashMap.newKeySet<ActiveRequest>()

    @Volatile
    private var open = true
    private val thread = Thread(::run, "watchdog").apply { isDaemon = true }

    public val count: Int get() = active.size

    public fun start() {
        thread.start()
    }

    public fun watch(deadlineNanos: Long, callerDisconnected: () -> Boolean): ActiveRequest =
        ActiveRequest(deadlineNanos, callerDisconnected).also { active += it }

    public fun unwatch(request: ActiveRequest) {
        active -= request
    }

    /** Checks every request once; one whose check fails must not keep the others from theirs. */
    public fun check() {
        val nanos = now().monotonicNanos
        for (request in active) guardedBlocking("requests") { request.check(nanos) }
    }

    override fun close() {
        open = false
        thread.interrupt()
    }

    private fun run() {
        while (open) {
            try {
                Thread.sleep(TICK.inWholeMilliseconds)
            } catch (e: InterruptedException) {
                if (open) log.warn { "requests: watchdog thread interrupted: $e" }
            }
            guardedBlocking("requests", ::check)
        }
    }

    internal companion object {
        private val log = KotlinLogging.logger {}

        /** A tenth of [Route.DEFAULT_MAX_EVENT_GAP]; each tick wakes the process. */
        val TICK = 20.milliseconds
    }
}
