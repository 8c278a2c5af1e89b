package org.bramleytrestle.serving

import kotlinx.coroutines.CoroutineScope
import org.bramleytrestle.cluster.Cluster
import org.bramleytrestle.cluster.ClusterListener
import org.bramleytrestle.cluster.ClusterSettings
import org.bramleytrestle.cluster.Clusters
import org.bramleytrestle.cluster.LimitDemand
import org.bramleytrestle.cluster.LimitGrant
import org.bramleytrestle.cluster.MemberState
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.settings.Change
import org.bramleytrestle.settings.SettingsState

/** Membership of the cluster of nodes, based on the peer protocol. */
public class PeerMembership(
    settings: ClusterSettings,
    scope: CoroutineScope,
    private val onAsk: (from: InstanceId, question: ByteArray) -> ByteArray? = { _, _ -> null }
) {
    private val own = settings.id
    private val dataCentre = settings.dataCentre
    private val cluster: Cluster = Clusters.tcp(settings, Listener(), scope)

    /**
     * Nodes that callers may use: the live nodes that advertise that they can serve. If there are
     * none, all live nodes, because they still serve requests that need no key.
     */
    public val entryNodes: List<EntryNode>
        get() {
            val alive = cluster.members.value.values.filter { it.state != MemberState.DEAD }
            val advertised = alive.filter { it.state != MemberState.LEAVING }.ifEmpty { alive }
            return advertised.map { EntryNode(it.id.value, it.callerAddress, it.dataCentre.value) }
        }

    /** Number of nodes in state ALIVE with a lower id; the node of rank 0 runs singleton tasks. */
    public val rank: Int
        get() = cluster.members.value.values
            .count { it.state == MemberState.ALIVE && it.id.value < own.value }

    /** Ids of the live nodes of this data centre, this one included. */
    public val localNodes: List<InstanceId>
        get() = cluster.members.value.values.filter {
            it.dataCentre == dataCentre && (it.state == MemberState.ALIVE || it.id == own)
        }.map { it.id }

    public suspend fun ask(to: InstanceId, question: ByteArray): ByteArray? =
        cluster.ask(to, question)

    public suspend fun start(): Unit = cluster.start()

    public fun addSeeds(addresses: Collection<String>): Unit = cluster.addSeeds(addresses)

    public fun leave(): Unit = cluster.leave()

    /** Tells peers whether they may list this node to callers. */
    public fun advertise(serving: Boolean): Unit =
        if (serving) cluster.cancelLeave() else cluster.leave()

    /** Settings come from the object store here, so peers exchange membership and questions. */
    private inner class Listener : ClusterListener {
        override fun onAsk(from: InstanceId, question: ByteArray): ByteArray? =
            this@PeerMembership.onAsk(from, question)

        override fun settings(): SettingsState = SettingsState.EMPTY

        override fun changesAfter(revision: Long): List<Change> = emptyList()

        override fun onChanges(changes: List<Change>) = Unit

        override fun onState(state: SettingsState) = Unit

        override fun onReports(reports: List<LoadReport>) = Unit

        override fun onDemand(from: InstanceId, demand: List<LimitDemand>) = Unit

        override fun onGrants(from: InstanceId, grants: List<LimitGrant>) = Unit
    }
}
