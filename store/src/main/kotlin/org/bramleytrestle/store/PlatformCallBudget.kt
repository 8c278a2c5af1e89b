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
 * Rate limiter and circuit breaker for the calls of one node to the platform.
 *
 * A token bucket limits the rate. After [FAILURES_BEFORE_BACKOFF] consecutive failures the circuit
 * opens: calls are rejected without being sent, except for one probe per backoff interval. The
 * interval grows exponentially and is jittered, so that the nodes of a fleet do not probe at the
 * same time. The bucket starts empty after an outage, because the accumulated bursts of all nodes
 * would overload the platform again.
 *
 * @param ratePerSecond tokens per second; in a fleet, the capacity of the platform divided by the
 * number of nodes.
 * @param burst capacity of the token bucket.
 * @param maxBackoff longest time between two probes, and thus until the end of an outage is
 * detected; at 5 s, 1,100 nodes send about 300 probes per second.
 * @param maxWait a call that has received no token after this time is rejected.
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

    private class Waiter(val priority: CallPriority, val sequence: Long, val cost: Double) {
        val granted = CompletableDeferred<Boolean>()
    }

    private val start = timeSource.markNow()
    private val waiters = PriorityQueue<Waiter>(compareBy({ it.priority }, { it.sequence }))
    private var nextSequence = 0L
    private var tokens = burst
    private var refilledAt = Duration.ZERO
    private var failures = 0
    private var backoff = firstBackoff

    /** Time of the next probe while the circuit is open; null while it is closed. */
    private var nextProbeAt: Duration? = null

    /** Waits for a token. Returns null if the call must not be sent. */
    internal suspend fun acquire(priority: CallPriority, cost: Double, watch: Boolean): Permit? {
        val startedAt = start.elapsedNow()
        val waiter = synchronized(this) {
            val probeAt = nextProbeAt
            if (probeAt != null) return tryProbe(probeAt, watch)
            Waiter(priority, nextSequence++, cost).also { waiters += it }
        }
        try {
            while (true) {
                val remaining = maxWait - (start.elapsedNow() - startedAt)
                val untilNextGrant = synchronized(this) { grantTokens() }
                if (waiter.granted.isCompleted || remaining <= Duration.ZERO) break
                withTimeoutOrNull(minOf(untilNextGrant, remaining)) { waiter.granted.join() }
            }
        } finally {
            synchronized(this) { waiters -= waiter }
        }
        val granted = waiter.granted.isCompleted && waiter.granted.await()
        return if (granted) Permit(probe = false) else null
    }

    /** Records the result of a call that was sent with [permit]. */
    @Synchronized
    internal fun onFinished(permit: Permit, failed: Boolean) {
        if (!failed) return onSuccess()
        failures++
        val isOpen = nextProbeAt != null
        if (!isOpen && failures < FAILURES_BEFORE_BACKOFF) return
        // Calls that were sent before the circuit opened carry no new information.
        if (isOpen && !permit.probe) return
        if (isOpen) backoff = minOf(backoff * 2, maxBackoff)
        nextProbeAt = start.elapsedNow() + jittered(backoff)
        waiters.forEach { it.granted.complete(false) }
        waiters.clear()
    }

    private fun onSuccess() {
        failures = 0
        backoff = firstBackoff
        if (nextProbeAt == null) return
        nextProbeAt = null
        tokens = 0.0
        refilledAt = start.elapsedNow()
    }

    private fun tryProbe(probeAt: Duration, watch: Boolean): Permit? {
        val now = start.elapsedNow()
        if (now < probeAt) return null
        // A watch responds late even if the platform is healthy, so the next probe must not wait
        // long for its response.
        nextProbeAt = now + jittered(if (watch) firstBackoff else backoff)
        return Permit(probe = true)
    }

    /** Grants tokens in order of priority. Returns the time until the next waiter can proceed. */
    private fun grantTokens(): Duration {
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
