package org.bramleytrestle.cluster

import kotlinx.coroutines.flow.StateFlow
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.settings.Change

/** A node's view of cluster membership and its means of sending data to peers. */
public interface Cluster {
    /**
     * All known members, including this one. Dead members are kept for
     * [ClusterIntervals.deadRetention].
     */
    public val members: StateFlow<Map<InstanceId, Member>>

    /** Starts the peer listener and the protocol; returns once the listener accepts connections. */
    public suspend fun start()

    /** Adds addresses of possible peers, from the settings file or the platform's node list. */
    public fun addSeeds(peerAddresses: Collection<String>)

    /** Pushes newly applied [changes] to peers without waiting for the next message. */
    public fun pushChanges(changes: List<Change>)

    public fun shareReports(reports: List<LoadReport>)

    public fun sendDemand(to: InstanceId, demand: List<LimitDemand>)

    public fun sendGrants(to: InstanceId, grants: List<LimitGrant>)

    /**
     * Sends [question] to the member [to] and waits for its answer. Neither is repeated if lost, so
     * callers set a timeout. Returns null if the member is unknown.
     */
    public suspend fun ask(to: InstanceId, question: ByteArray): ByteArray?

    /** Announces to peers that this node is leaving. It remains a member until [stop]. */
    public fun leave()

    /** Reverts [leave], for example because the node is able to serve again. */
    public fun cancelLeave()

    public suspend fun stop()
}
