package org.bramleytrestle.routing

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.settings.SettingsState

/**
 * Grants the dynamic part of the rate limits of organisations whose first home node is this node.
 * A grant can arrive up to [maxDelay] late and is then valid for its whole duration, so its
 * capacity is reused only after [maxDelay] plus that duration. A new granter waits until the grants
 * of its predecessor have expired.
 */
public class GrantAllocator(
    private val self: InstanceId,
    private val clock: TimeSource.WithComparableMarks,
    homes: (OrganisationId, List<InstanceId>) -> List<InstanceId>,
    private val maxDelay: Duration = OrganisationLimiter.MAX_DELAY
) {
    private val duration = OrganisationLimiter.GRANT_DURATION

    /** The previous granter may learn of the change late, and its last grant may arrive late. */
    private val views = LimitViews(clock, homes, duration + maxDelay * 2)
    private val accounts = HashMap<OrganisationId, HashMap<InstanceId, NodeAccount>>()

    private class NodeAccount {
        var demand = 0.0
        var demandUntil: ComparableTimeMark? = null
        var outstanding = emptyList<OutstandingGrant>()
    }

    private class OutstandingGrant(val tokensPerSecond: Double, val until: ComparableTimeMark)

    /** Applies a new view of the live members and the current settings. */
    @Synchronized
    public fun onView(members: List<InstanceId>, settings: SettingsState): Unit =
        views.add(members, settings)

    /** Records the demand of node [from]. */
    @Synchronized
    public fun demandReceived(from: InstanceId, demand: OrganisationDemand) {
        val account = accounts.getOrPut(demand.organisation) { HashMap() }
            .getOrPut(from) { NodeAccount() }
        account.demand = demand.tokensPerSecond
        account.demandUntil = clock.markNow() + duration
    }

    /** Returns the grants to send now. Must be called several times per grant duration. */
    @Synchronized
    public fun grantsToSend(): List<OrganisationGrant> {
        val now = clock.markNow()
        accounts.values.forEach { nodes -> nodes.values.removeIf { it.expire(now) } }
        accounts.values.removeIf { it.isEmpty() }
        return accounts.flatMap { (organisation, nodes) -> grants(organisation, nodes, now) }
    }

    /** Removes expired grants and demand; returns whether nothing is left. */
    private fun NodeAccount.expire(now: ComparableTimeMark): Boolean {
        outstanding = outstanding.filter { it.until >= now }
        if (demandUntil?.let { it < now } == true) demand = 0.0
        return demand <= 0.0 && outstanding.isEmpty()
    }

    private fun grants(
        organisation: OrganisationId,
        nodes: Map<InstanceId, NodeAccount>,
        now: ComparableTimeMark
    ): List<OrganisationGrant> {
        val limits = views.limitsSince(now, organisation) ?: return emptyList()
        if (limits.any { it.homes.firstOrNull() != self }) return emptyList()
        val dynamicPart = 1 - OrganisationLimiter.STATIC_PART
        val capacity = limits.minOf { it.tokensPerSecond } * dynamicPart
        val demand = nodes.values.sumOf { it.demand }
        val outstanding = nodes.mapValues { (_, node) ->
            node.outstanding.maxOfOrNull { it.tokensPerSecond } ?: 0.0
        }
        // While more than the capacity is outstanding (the limit was lowered), renewing smaller
        // grants would keep the sum above the limit.
        if (outstanding.values.sum() > capacity * (1 + ROUNDING)) return emptyList()
        val wanted = nodes.filterValues { it.demand > 0.0 }
            .mapValues { (_, node) -> capacity * node.demand / demand }
        val missing = wanted.entries.sumOf { (id, rate) ->
            (rate - outstanding.getValue(id)).coerceAtLeast(0.0)
        }
        val free = (capacity - outstanding.values.sum()).coerceAtLeast(0.0)
        val scale = if (missing > free) free / missing else 1.0
        return wanted.map { (id, wantedRate) ->
            val current = outstanding.getValue(id)
            val increase = (wantedRate - current) * scale
            val rate = if (wantedRate <= current) wantedRate else current + increase
            val account = nodes.getValue(id)
            account.outstanding += OutstandingGrant(rate, now + maxDelay + duration)
            OrganisationGrant(id, organisation, rate, duration)
        }.filter { it.tokensPerSecond > 0.0 }
    }

    private companion object {
        /** Relative error of sums of floating-point rates. */
        const val ROUNDING = 1e-9
    }
}
