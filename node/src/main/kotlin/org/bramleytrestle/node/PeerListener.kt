package org.bramleytrestle.node

import org.bramleytrestle.cluster.ClusterListener
import org.bramleytrestle.cluster.LimitDemand
import org.bramleytrestle.cluster.LimitGrant
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.node.servers.ServerRegistry
import org.bramleytrestle.node.settings.SettingsHolder
import org.bramleytrestle.settings.Change
import org.bramleytrestle.settings.SettingsState

/** Dispatches messages from peers to the components of this node. */
internal class PeerListener(
    private val holder: SettingsHolder,
    private val registry: ServerRegistry,
    private val handleDemand: (InstanceId, List<LimitDemand>) -> Unit,
    private val handleGrants: (InstanceId, List<LimitGrant>) -> Unit,
    private val onServerLeaving: () -> Unit
) : ClusterListener {
    override fun settings(): SettingsState = holder.state

    override fun changesAfter(revision: Long): List<Change>? = holder.changesAfter(revision)

    override fun onChanges(changes: List<Change>) = holder.apply(changes)

    override fun onState(state: SettingsState) = holder.replace(state)

    override fun onReports(reports: List<LoadReport>) {
        reports.forEach(registry::recordReport)
        if (reports.any { it.leaving }) onServerLeaving()
    }

    override fun onDemand(from: InstanceId, demand: List<LimitDemand>) = handleDemand(from, demand)

    override fun onGrants(from: InstanceId, grants: List<LimitGrant>) = handleGrants(from, grants)
}
