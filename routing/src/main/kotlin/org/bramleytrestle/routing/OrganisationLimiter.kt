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
 * This node's part of the limits of organisations: a static share if it is a home node, plus a
 * grant. The parts of all nodes never exceed the limit, given that every node learns a change of
 * members or settings, and every grant arrives, within [maxDelay]; lost messages only lower it.
 * While a change spreads, the limit is the higher of the old and the new one.
 *
 * @param homes the members in the order of preference as home nodes of an organisation.
 */
public class OrganisationLimiter(
    private val self: InstanceId,
    private val clock: TimeSource.WithComparableMarks,
    homes: (OrganisationId, List<InstanceId>) -> List<InstanceId>,
    maxDelay: Duration = MAX_DELAY
) {
    private val views = LimitViews(clock, homes, maxDelay)
    private val buckets = ConcurrentHashMap<OrganisationId, Bucket>()

    /** Takes over the live members and the settings in force. */
    public fun onView(members: List<InstanceId>, settings: SettingsState): Unit =
        views.add(members, settings)

    /** Demand of this node to send to the granters; call it a few times per grant duration. */
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

    /** Puts a grant in force from now on; it replaces the one before. */
    public fun grantReceived(grant: OrganisationGrant) {
        if (grant.to != self) return
        bucket(grant.organisation).grant(grant.tokensPerSecond, grant.valid)
    }

    /** Tokens per second that this node may use now. */
    public fun rate(organisation: OrganisationId): Double = bucket(organisation).rate()

    /** Takes [tokens] if the limit has room; the last take may go into debt. */
    internal fun tryTake(organisation: OrganisationId, tokens: Int): Boolean =
        bucket(organisation).tryTake(tokens)

    /** Charges [tokens] whatever the limit, or gives them back if negative. */
    internal fun charge(organisation: OrganisationId, tokens: Int): Unit =
        bucket(organisation).charge(tokens)

    /** Notes tokens that callers asked for. */
    internal fun offered(organisation: OrganisationId, tokens: Int): Unit =
        bucket(organisation).offered(tokens)

    /** Notes tokens that entered the queue, or left it if negative. */
    internal fun queued(organisation: OrganisationId, tokens: Int): Unit =
        bucket(organisation).queued(tokens)

    /** Time until all queued tokens have been taken at the present rate. */
    internal fun delay(organisation: OrganisationId): Duration = bucket(organisation).delay(true)

    /** Time until the next take can succeed at the present rate. */
    internal fun nextTake(organisation: OrganisationId): Duration =
        bucket(organisation).delay(false)

    private fun bucket(organisation: OrganisationId) =
        buckets.computeIfAbsent(organisation) { Bucket(it) }

    /** Token bucket whose rate changes with views and grants. */
    private inner class Bucket(private val organisation: OrganisationId) {
        private var at = clock.markNow()
        private var granted = 0.0
        private var grantedUntil = at
        private var level = staticShare(at) * BURST.toDouble(DurationUnit.SECONDS)
        private var queued = 0L
        private var offered = 0L
        private var offeredRate = 0.0
        private var offeredSince = at

        @Synchronized
        fun grant(tokensPerSecond: Double, valid: Duration) {
            advance()
            granted = tokensPerSecond
            grantedUntil = at + valid
        }

        @Synchronized
        fun rate(): Double {
            advance()
            return staticShare(at) + if (grantedUntil > at) granted else 0.0
        }

        @Synchronized
        fun tryTake(tokens: Int): Boolean {
            advance()
            if (level <= 0.0) return false
            level -= tokens
            return true
        }

        @Synchronized
        fun charge(tokens: Int) {
            advance()
            level -= tokens
        }

        @Synchronized
        fun offered(tokens: Int) {
            offered += tokens
        }

        @Synchronized
        fun queued(tokens: Int) {
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
            val missing = (if (behindQueue) queued.toDouble() else 0.0) - level
            return when {
                missing < 0.0 -> Duration.ZERO
                rate <= 0.0 -> NO_RATE_DELAY
                else -> ((missing + 1) / rate).seconds
            }
        }

        private fun advance() {
            val now = clock.markNow()
            if (now <= at) return
            // Views are kept for a bounded time; the credit of an older time is forgone.
            val from = maxOf(at, now - LimitViews.KEPT)
            val share = staticShare(from)
            val grantedFor = (minOf(grantedUntil, now) - from).coerceAtLeast(Duration.ZERO)
            val grantedSeconds = grantedFor.toDouble(DurationUnit.SECONDS)
            val seconds = (now - from).toDouble(DurationUnit.SECONDS)
            val added = share * seconds + granted * grantedSeconds
            val most = (share + if (grantedSeconds > 0) granted else 0.0) *
                BURST.toDouble(DurationUnit.SECONDS)
            level = maxOf(level, minOf(level + added, most))
            at = now
        }

        private fun staticShare(from: ComparableTimeMark): Double =
            views.since(from, organisation)?.minOf {
                if (self in it.homes) it.tokensPerSecond * STATIC_PART / it.homes.size else 0.0
            } ?: 0.0
    }

    public companion object {
        /** Longer than a connection without frames stays open (three heartbeat intervals). */
        public val MAX_DELAY: Duration = 2.seconds

        internal val GRANT_DURATION = 1.seconds

        /** Part of a limit that is divided statically; the rest is granted. */
        internal const val STATIC_PART = 0.5

        private val BURST = 1.seconds

        /** Without a rate the next grant decides; it takes about two grant durations. */
        private val NO_RATE_DELAY = GRANT_DURATION * 2
        private const val MIN_DEMAND_SECONDS = 0.1
    }
}
