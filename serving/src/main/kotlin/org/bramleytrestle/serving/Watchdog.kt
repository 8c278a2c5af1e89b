package org.bramleytrestle.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

/**
 * Ends exchanges whose deadline passed, whose caller left or whose server fell silent. One thread
 * looks at all requests, so that threads that wait for servers need no timers of their own.
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

    public fun watch(deadlineNanos: Long, departed: () -> Boolean): ActiveRequest =
        ActiveRequest(deadlineNanos, departed).also { active += it }

    public fun done(request: ActiveRequest) {
        active -= request
    }

    /** Looks at every request once. */
    public fun check() {
        val nanos = now().monotonicNanos
        for (request in active) request.check(nanos)
    }

    override fun close() {
        open = false
        thread.interrupt()
    }

    private fun run() {
        while (open) {
            try {
                Thread.sleep(TICK.inWholeMilliseconds)
                check()
            } catch (e: InterruptedException) {
                if (open) log.warn { "requests: watchdog was interrupted: $e" }
            } catch (e: Exception) {
                log.error(e) { "requests: check of requests in flight failed" }
            }
        }
    }

    internal companion object {
        private val log = KotlinLogging.logger {}

        /** A twentieth of the pause that callers of streams take as usual. */
        val TICK = 10.milliseconds
    }
}
