package org.bramleytrestle.routing

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.settings.SettingsState

/**
 * Grants the part of organisations' limits that is not divided statically, as the first home node
 * of an organisation. A node may hold any grant of which the last validity has not ended, so
 * capacity is free again only after delay and duration of the grants before. A new granter
 * waits until the grants of the one before have ended.
 */
public class GrantAllocator(
    private val self: InstanceId,
    private val clock: TimeSource.WithComparableMarks,
    homes: (OrganisationId, List<InstanceId>) -> List<InstanceId>,
    private val maxDelay: Duration = OrganisationLimiter.MAX_DELAY
) {
    private val duration = OrganisationLimiter.GRANT_DURATION

    /** The granter before learns of the change late, and its last grant arrives late. */
    private val views = LimitViews(clock, homes, duration + maxDelay * 2)
    private val accounts = HashMap<OrganisationId, HashMap<InstanceId, Account>>()

    private class Account {
        var demand = 0.0
        var demandUntil: ComparableTimeMark? = null
        var outstanding = emptyList<Outstanding>()
    }

    private class Outstanding(val tokensPerSecond: Double, val until: ComparableTimeMark)

    /** Takes over the live members and the settings in force. */
    @Synchronized
    public fun onView(members: List<InstanceId>, settings: SettingsState): Unit =
        views.add(members, settings)

    /** Notes the demand of node [from]. */
    @Synchronized
    public fun demandReceived(from: InstanceId, demand: OrganisationDemand) {
        val account = accounts.getOrPut(demand.organisation) { HashMap() }
            .getOrPut(from) { Account() }
        account.demand = demand.tokensPerSecond
        account.demandUntil = clock.markNow() + duration
    }

    /** The grants to send now; call it a few times per grant duration. */
    @Synchronized
    public fun grantsToSend(): List<OrganisationGrant> {
        val now = clock.markNow()
        accounts.values.forEach { nodes -> nodes.values.removeIf { it.isOver(now) } }
        accounts.values.removeIf { it.isEmpty() }
        return accounts.flatMap { (organisation, nodes) -> grants(organisation, nodes, now) }
    }

    private fun Account.isOver(now: ComparableTimeMark): Boolean {
        outstanding = outstanding.filter { it.until >= now }
        if (demandUntil?.let { it < now } == true) demand = 0.0
        return demand <= 0.0 && outstanding.isEmpty()
    }

    private fun grants(
        organisation: OrganisationId,
        nodes: Map<InstanceId, Account>,
        now: ComparableTimeMark
    ): List<OrganisationGrant> {
        val limits = views.since(now, organisation) ?: return emptyList()
        if (limits.any { it.homes.firstOrNull() != self }) return emptyList()
        val granted = 1 - OrganisationLimiter.STATIC_PART
        val part = limits.minOf { it.tokensPerSecond } * granted
        val demand = nodes.values.sumOf { it.demand }
        val held = nodes.mapValues { (_, node) ->
            node.outstanding.maxOfOrNull { it.tokensPerSecond } ?: 0.0
        }
        // After the limit fell, renewing smaller grants would keep the old sum alive.
        if (held.values.sum() > part * (1 + ROUNDING)) return emptyList()
        val wanted = nodes.filterValues { it.demand > 0.0 }
            .mapValues { (_, node) -> part * node.demand / demand }
        val missing = wanted.entries.sumOf { (id, want) ->
            (want - held.getValue(id)).coerceAtLeast(0.0)
        }
        val free = (part - held.values.sum()).coerceAtLeast(0.0)
        val scale = if (missing > free) free / missing else 1.0
        return wanted.map { (id, want) ->
            val has = held.getValue(id)
            val rate = if (want <= has) want else has + (want - has) * scale
            val account = nodes.getValue(id)
            account.outstanding += Outstanding(rate, now + maxDelay + duration)
            OrganisationGrant(id, organisation, rate, duration)
        }.filter { it.tokensPerSecond > 0.0 }
    }

    private companion object {
        /** Relative error of sums of floating-point rates. */
        const val ROUNDING = 1e-9
    }
}
