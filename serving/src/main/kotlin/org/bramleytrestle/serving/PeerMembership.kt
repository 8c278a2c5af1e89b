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

/** The other nodes, as the peer protocol sees them. */
public class PeerMembership(settings: ClusterSettings, scope: CoroutineScope) {
    private val own = settings.id
    private val cluster: Cluster = Clusters.tcp(settings, Ignoring, scope)

    /**
     * Nodes that callers may use. If none says that it can serve, those that cannot or that leave:
     * they still serve what needs no key.
     */
    public val entryNodes: List<EntryNode>
        get() {
            val living = cluster.members.value.values.filter { it.state != MemberState.DEAD }
            val offered = living.filter { it.state != MemberState.LEAVING }.ifEmpty { living }
            return offered.map { EntryNode(it.id.value, it.callerAddress, it.dataCentre.value) }
        }

    /** Number of certainly living nodes before this one; the first does what one must do. */
    public val rank: Int
        get() = cluster.members.value.values
            .count { it.state == MemberState.ALIVE && it.id.value < own.value }

    public suspend fun start(): Unit = cluster.start()

    public fun addSeeds(addresses: Collection<String>): Unit = cluster.addSeeds(addresses)

    public fun leave(): Unit = cluster.leave()

    /** Tells peers whether they may name this node to callers. */
    public fun advertise(serving: Boolean): Unit = if (serving) cluster.stay() else cluster.leave()

    /** Settings come from the store on a platform of objects, so peers only tell who lives. */
    private object Ignoring : ClusterListener {
        override fun settings(): SettingsState = SettingsState.EMPTY

        override fun changesAfter(revision: Long): List<Change> = emptyList()

        override fun onChanges(changes: List<Change>) = Unit

        override fun onState(state: SettingsState) = Unit

        override fun onReports(reports: List<LoadReport>) = Unit

        override fun onDemand(from: InstanceId, demand: List<LimitDemand>) = Unit

        override fun onGrants(from: InstanceId, grants: List<LimitGrant>) = Unit
    }
}
