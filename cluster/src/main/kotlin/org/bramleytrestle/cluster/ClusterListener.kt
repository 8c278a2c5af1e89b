package org.bramleytrestle.cluster

import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.settings.Change
import org.bramleytrestle.settings.SettingsState

/** The node's side of the exchange between peers; calls must return quickly. */
public interface ClusterListener {
    /** The settings state in force here. */
    public fun settings(): SettingsState

    /** Accepted changes after [revision] that this node still keeps, oldest first, or null. */
    public fun changesAfter(revision: Long): List<Change>?

    /** A peer has these changes, oldest first; apply those that follow the revision in force. */
    public fun onChanges(changes: List<Change>)

    /** A peer's whole state; apply it only if its revision is higher. */
    public fun onState(state: SettingsState)

    public fun onReports(reports: List<LoadReport>)

    public fun onDemand(from: InstanceId, demand: List<LimitDemand>)

    public fun onGrants(from: InstanceId, grants: List<LimitGrant>)
}
