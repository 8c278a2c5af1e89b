package org.bramleytrestle.node.limits

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import org.bramleytrestle.cluster.Cluster
import org.bramleytrestle.cluster.LimitDemand
import org.bramleytrestle.cluster.LimitGrant
import org.bramleytrestle.cluster.MemberState
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.routing.GrantAllocator
import org.bramleytrestle.routing.OrganisationDemand
import org.bramleytrestle.routing.OrganisationGrant
import org.bramleytrestle.routing.OrganisationLimiter
import org.bramleytrestle.settings.SettingsState

/**
 * Carries demand and grants of organisations' limits between this node and its peers.
 *
 * @property onGrant told when a grant may let queued work run.
 */
internal class LimitExchange(
    private val self: InstanceId,
    private val limiter: OrganisationLimiter,
    private val allocator: GrantAllocator,
    private val cluster: () -> Cluster,
    private val settings: () -> SettingsState,
    private val onGrant: () -> Unit
) {
    private var viewed: Pair<List<InstanceId>, SettingsState>? = null

    suspend fun run(): Nothing {
        while (true) {
            view()
            exchange()
            delay(INTERVAL)
        }
    }

    fun onDemand(from: InstanceId, demand: List<LimitDemand>) = demand.forEach {
        val received = OrganisationDemand(self, it.organisation, it.tokensPerSecond)
        allocator.demandReceived(from, received)
    }

    fun onGrants(grants: List<LimitGrant>) {
        for (grant in grants) {
            val valid = grant.validMillis.milliseconds
            val received = OrganisationGrant(self, grant.organisation, grant.tokensPerSecond, valid)
            limiter.grantReceived(received)
        }
        onGrant()
    }

    private fun view() {
        val live = cluster().members.value.values.filter { it.state in WORKING }
        val next = live.map { it.id }.sortedBy { it.value } to settings()
        if (next == viewed) return
        viewed = next
        limiter.onView(next.first, next.second)
        allocator.onView(next.first, next.second)
    }

    private fun exchange() {
        for ((granter, demands) in limiter.demandToSend().groupBy { it.to }) {
            if (granter == self) {
                demands.forEach { allocator.demandReceived(self, it) }
            } else {
                cluster().sendDemand(granter, demands.map(::message))
            }
        }
        for ((node, grants) in allocator.grantsToSend().groupBy { it.to }) {
            if (node == self) {
                grants.forEach(limiter::grantReceived)
                onGrant()
            } else {
                cluster().sendGrants(node, grants.map(::message))
            }
        }
    }

    private fun message(demand: OrganisationDemand) =
        LimitDemand(demand.organisation, demand.tokensPerSecond)

    private fun message(grant: OrganisationGrant) =
        LimitGrant(grant.organisation, grant.tokensPerSecond, grant.valid.inWholeMilliseconds)

    private companion object {
        // Four times per grant duration, so that one lost message does not end a grant.
        val INTERVAL = 250.milliseconds
        val WORKING = setOf(MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)
    }
}
