package org.bramleytrestle.cluster

import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.settings.Change
import org.bramleytrestle.settings.SettingsState

/**
 * Callbacks by which the cluster reads the node's settings and delivers data from peers. Calls
 * must return quickly, since the protocol waits for them.
 */
public interface ClusterListener {
    /** The settings state in effect on this node. */
    public fun settings(): SettingsState

    /**
     * Accepted changes after [revision], oldest first, or null if this node no longer has them.
     */
    public fun changesAfter(revision: Long): List<Change>?

    /**
     * Called with changes from a peer, oldest first. The listener applies those that directly
     * follow its current revision.
     */
    public fun onChanges(changes: List<Change>)

    /** Called with a peer's full state; the listener applies it only if its revision is higher. */
    public fun onState(state: SettingsState)

    public fun onReports(reports: List<LoadReport>)

    public fun onDemand(from: InstanceId, demand: List<LimitDemand>)

    public fun onGrants(from: InstanceId, grants: List<LimitGrant>)

    /** Answers a question that [from] sent with [Cluster.ask]; null sends no answer. */
    public fun onAsk(from: InstanceId, question: ByteArray): ByteArray? = null
}
