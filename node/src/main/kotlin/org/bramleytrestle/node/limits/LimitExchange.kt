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
 * Exchanges demand and grants of organisations' rate limits between this node and its peers.
 *
 * @property onGrant called when grants arrive, since queued work may be able to run.
 */
internal class LimitExchange(
    private val self: InstanceId,
    private val limiter: OrganisationLimiter,
    private val allocator: GrantAllocator,
    private val cluster: () -> Cluster,
    private val settings: () -> SettingsState,
    private val onGrant: () -> Unit
) {
    private var lastView: Pair<List<InstanceId>, SettingsState>? = null

    suspend fun run(): Nothing {
        while (true) {
            updateView()
            sendDemandAndGrants()
            delay(SEND_INTERVAL)
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

    private fun updateView() {
        val liveMembers = cluster().members.value.values.filter { it.state in LIVE_STATES }
        val view = liveMembers.map { it.id }.sortedBy { it.value } to settings()
        if (view == lastView) return
        lastView = view
        limiter.onView(view.first, view.second)
        allocator.onView(view.first, view.second)
    }

    private fun sendDemandAndGrants() {
        for ((granter, demands) in limiter.demandToSend().groupBy { it.to }) {
            if (granter == self) {
                demands.forEach { allocator.demandReceived(self, it) }
            } else {
                cluster().sendDemand(granter, demands.map(::toMessage))
            }
        }
        for ((node, grants) in allocator.grantsToSend().groupBy { it.to }) {
            if (node == self) {
                grants.forEach(limiter::grantReceived)
                onGrant()
            } else {
                cluster().sendGrants(node, grants.map(::toMessage))
            }
        }
    }

    private fun toMessage(demand: OrganisationDemand) =
        LimitDemand(demand.organisation, demand.tokensPerSecond)

    private fun toMessage(grant: OrganisationGrant) =
        LimitGrant(grant.organisation, grant.tokensPerSecond, grant.valid.inWholeMilliseconds)

    private companion object {
        // Four times per grant duration, so that a grant does not expire when one message is lost.
        val SEND_INTERVAL = 250.milliseconds
        val LIVE_STATES = setOf(MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)
    }
}
