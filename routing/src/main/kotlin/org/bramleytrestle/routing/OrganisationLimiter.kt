package org.bramleytrestle.routing

import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.settings.SettingsState

/**
 * Enforces this node's part of the rate limits of organisations: a static share if it is a home
 * node, plus a grant. The sum over all nodes never exceeds the limit, provided that every node
 * learns of a change of members or settings within `maxDelay` and that every grant arrives within
 * `maxDelay` or not at all. Lost messages only lower the sum. While a change propagates, the bound
 * is the higher of the old and the new limit.
 *
 * @param homes returns the members in order of preference as home nodes of an organisation.
 */
public class OrganisationLimiter(
    private val self: InstanceId,
    private val clock: TimeSource.WithComparableMarks,
    homes: (OrganisationId, List<InstanceId>) -> List<InstanceId>,
    maxDelay: Duration = MAX_DELAY
) {
    private val views = LimitViews(clock, homes, maxDelay)
    private val buckets = ConcurrentHashMap<OrganisationId, Bucket>()

    /** Applies a new view of the live members and the current settings. */
    public fun onView(members: List<InstanceId>, settings: SettingsState): Unit =
        views.add(members, settings)

    /** The demand to send to the granters. Must be called several times per grant duration. */
    public fun demandToSend(): List<OrganisationDemand> =
        buckets.entries.mapNotNull { (organisation, bucket) ->
            val granter = views.current(organisation)?.homes?.firstOrNull()
            val demand = bucket.demand()
            if (granter == null || demand <= 0.0) {
                null
            } else {
                OrganisationDemand(granter, organisation, demand)
            }
        }

    /** Applies a grant from now on; it replaces the previous one. */
    public fun grantReceived(grant: OrganisationGrant) {
        if (grant.to != self) return
        bucket(grant.organisation).grant(grant.tokensPerSecond, grant.valid)
    }

    /** The current rate of this node in tokens per second. */
    public fun rate(organisation: OrganisationId): Double = bucket(organisation).rate()

    /** Consumes [tokens] if the balance is positive; the balance may become negative. */
    internal fun tryConsume(organisation: OrganisationId, tokens: Int): Boolean =
        bucket(organisation).tryConsume(tokens)

    /** Charges [tokens] unconditionally, or refunds them if negative. */
    internal fun charge(organisation: OrganisationId, tokens: Int): Unit =
        bucket(organisation).charge(tokens)

    /** Records tokens requested by callers. */
    internal fun recordOffered(organisation: OrganisationId, tokens: Int): Unit =
        bucket(organisation).recordOffered(tokens)

    /** Records tokens that were added to the queue, or removed from it if negative. */
    internal fun addQueued(organisation: OrganisationId, tokens: Int): Unit =
        bucket(organisation).addQueued(tokens)

    /** Time until all queued tokens have been consumed at the current rate. */
    internal fun queueDelay(organisation: OrganisationId): Duration =
        bucket(organisation).delay(behindQueue = true)

    /** Time until [tryConsume] can succeed at the current rate. */
    internal fun refillDelay(organisation: OrganisationId): Duration =
        bucket(organisation).delay(behindQueue = false)

    private fun bucket(organisation: OrganisationId) =
        buckets.computeIfAbsent(organisation) { Bucket(it) }

    /** Token bucket whose rate changes with views and grants. */
    private inner class Bucket(private val organisation: OrganisationId) {
        private var lastRefill = clock.markNow()
        private var grantRate = 0.0
        private var grantEnd = lastRefill
        private var balance = staticShare(lastRefill) * BURST.toDouble(DurationUnit.SECONDS)
        private var queued = 0L
        private var offered = 0L
        private var offeredRate = 0.0
        private var offeredSince = lastRefill

        @Synchronized
        fun grant(tokensPerSecond: Double, valid: Duration) {
            refill()
            grantRate = tokensPerSecond
            grantEnd = lastRefill + valid
        }

        @Synchronized
        fun rate(): Double {
            refill()
            return staticShare(lastRefill) + if (grantEnd > lastRefill) grantRate else 0.0
        }

        @Synchronized
        fun tryConsume(tokens: Int): Boolean {
            refill()
            if (balance <= 0.0) return false
            balance -= tokens
            return true
        }

        @Synchronized
        fun charge(tokens: Int) {
            refill()
            balance -= tokens
        }

        @Synchronized
        fun recordOffered(tokens: Int) {
            offered += tokens
        }

        @Synchronized
        fun addQueued(tokens: Int) {
            queued += tokens
        }

        @Synchronized
        fun demand(): Double {
            val elapsed = (clock.markNow() - offeredSince).toDouble(DurationUnit.SECONDS)
            if (elapsed > 0) {
                offeredRate = (offeredRate + offered / maxOf(elapsed, MIN_DEMAND_SECONDS)) / 2
                offered = 0
                offeredSince = clock.markNow()
            }
            if (offeredRate < 1.0) offeredRate = 0.0
            return offeredRate + queued
        }

        @Synchronized
        fun delay(behindQueue: Boolean): Duration {
            val rate = rate()
            val missing = (if (behindQueue) queued.toDouble() else 0.0) - balance
            return when {
                missing < 0.0 -> Duration.ZERO
                rate <= 0.0 -> NO_RATE_DELAY
                else -> ((missing + 1) / rate).seconds
            }
        }

        private fun refill() {
            val now = clock.markNow()
            if (now <= lastRefill) return
            // Views are kept for a bounded time; no tokens are added for any time before that.
            val from = maxOf(lastRefill, now - LimitViews.RETENTION)
            val share = staticShare(from)
            val grantedFor = (minOf(grantEnd, now) - from).coerceAtLeast(Duration.ZERO)
            val grantedSeconds = grantedFor.toDouble(DurationUnit.SECONDS)
            val seconds = (now - from).toDouble(DurationUnit.SECONDS)
            val added = share * seconds + grantRate * grantedSeconds
            val capacity = (share + if (grantedSeconds > 0) grantRate else 0.0) *
                BURST.toDouble(DurationUnit.SECONDS)
            balance = maxOf(balance, minOf(balance + added, capacity))
            lastRefill = now
        }

        private fun staticShare(from: ComparableTimeMark): Double =
            views.limitsSince(from, organisation)?.minOf {
                if (self in it.homes) it.tokensPerSecond * STATIC_PART / it.homes.size else 0.0
            } ?: 0.0
    }

    public companion object {
        /** Exceeds three heartbeat intervals, after which an unresponsive connection is closed. */
        public val MAX_DELAY: Duration = 2.seconds

        internal val GRANT_DURATION = 1.seconds

        /** Fraction of a limit that is split between home nodes; the rest is granted by demand. */
        internal const val STATIC_PART = 0.5

        private val BURST = 1.seconds

        /** Delay assumed while the rate is zero: the next grant takes about two grant durations. */
        private val NO_RATE_DELAY = GRANT_DURATION * 2
        private const val MIN_DEMAND_SECONDS = 0.1
    }
}
