package org.bramleytrestle.store

import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Limits the calls of one node to the platform.
 *
 * A token bucket limits the rate. After [FAILURES_BEFORE_BACKOFF] consecutive failures, calls are
 * refused without being sent, except for one probe per backoff interval; the interval grows and is
 * jittered, so that the nodes of a fleet do not call at the same time. The bucket is empty after an
 * outage, because saved bursts of all nodes together would overload the platform again.
 *
 * @param ratePerSecond tokens per second; a fleet divides the capacity of the platform by its size.
 * @param burst most tokens that are saved.
 * @param maxBackoff longest time between two probes and thus until the end of an outage is noticed;
 * at 5 s, 1,100 nodes send about 300 probes per second.
 * @param maxWait after this time without a token a call is refused.
 */
public class PlatformCallBudget(
    private val ratePerSecond: () -> Double,
    private val burst: Double = 20.0,
    private val maxWait: Duration = 1.seconds,
    private val firstBackoff: Duration = 500.milliseconds,
    private val maxBackoff: Duration = 5.seconds,
    timeSource: TimeSource = TimeSource.Monotonic,
    private val random: Random = Random.Default
) {
    internal class Permit(val probe: Boolean)

    private class Waiter(val priority: CallPriority, val order: Long, val cost: Double) {
        val granted = CompletableDeferred<Boolean>()
    }

    private val start = timeSource.markNow()
    private val waiters = PriorityQueue<Waiter>(compareBy({ it.priority }, { it.order }))
    private var arrivals = 0L
    private var tokens = burst
    private var refilledAt = Duration.ZERO
    private var failures = 0
    private var backoff = firstBackoff
    private var closedUntil: Duration? = null

    /** Waits for a token; null if the call must not be sent. */
    internal suspend fun admit(priority: CallPriority, cost: Double, watch: Boolean): Permit? {
        val began = start.elapsedNow()
        val waiter = synchronized(this) {
            val until = closedUntil
            if (until != null) return probe(until, watch)
            Waiter(priority, arrivals++, cost).also { waiters += it }
        }
        try {
            while (true) {
                val left = maxWait - (start.elapsedNow() - began)
                val pause = synchronized(this) { grant() }
                if (waiter.granted.isCompleted || left <= Duration.ZERO) break
                withTimeoutOrNull(minOf(pause, left)) { waiter.granted.join() }
            }
        } finally {
            synchronized(this) { waiters -= waiter }
        }
        val granted = waiter.granted.isCompleted && waiter.granted.await()
        return if (granted) Permit(probe = false) else null
    }

    /** Notes how a call ended that [permit] allowed. */
    @Synchronized
    internal fun ended(permit: Permit, failed: Boolean) {
        if (!failed) return succeeded()
        failures++
        val open = closedUntil == null
        if (open && failures < FAILURES_BEFORE_BACKOFF) return
        // Calls that were sent before the backoff began say nothing new.
        if (!open && !permit.probe) return
        if (!open) backoff = minOf(backoff * 2, maxBackoff)
        closedUntil = start.elapsedNow() + jittered(backoff)
        waiters.forEach { it.granted.complete(false) }
        waiters.clear()
    }

    private fun succeeded() {
        failures = 0
        backoff = firstBackoff
        if (closedUntil == null) return
        closedUntil = null
        tokens = 0.0
        refilledAt = start.elapsedNow()
    }

    private fun probe(until: Duration, watch: Boolean): Permit? {
        val now = start.elapsedNow()
        if (now < until) return null
        // A watch answers late even if all is well, so the next probe must not wait long for it.
        closedUntil = now + jittered(if (watch) firstBackoff else backoff)
        return Permit(probe = true)
    }

    /** Gives tokens to the first waiters and returns the time until the next one can go. */
    private fun grant(): Duration {
        val now = start.elapsedNow()
        val rate = ratePerSecond()
        tokens = minOf(burst, tokens + rate * (now - refilledAt).toDouble(DurationUnit.SECONDS))
        refilledAt = now
        while (true) {
            val first = waiters.peek() ?: return Duration.INFINITE
            val missing = minOf(first.cost, burst) - tokens
            if (missing > 0) return (missing / rate).seconds + 1.milliseconds
            tokens -= minOf(first.cost, burst)
            waiters.poll().granted.complete(true)
        }
    }

    private fun jittered(interval: Duration) = interval * random.nextDouble(MIN_JITTER, 1.0)

    private companion object {
        const val FAILURES_BEFORE_BACKOFF = 3
        const val MIN_JITTER = 0.5
    }
}
