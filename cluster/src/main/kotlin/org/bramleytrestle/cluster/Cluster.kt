package org.bramleytrestle.cluster

import kotlinx.coroutines.flow.StateFlow
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.settings.Change

/** Membership of nodes and dissemination between them. */
public interface Cluster {
    /** All known members, this one included; dead ones stay for a while. */
    public val members: StateFlow<Map<InstanceId, Member>>

    /** Starts the peer listener and the exchange; returns once the listener accepts. */
    public suspend fun start()

    /** Addresses of possible peers from the settings file or the platform's list. */
    public fun addSeeds(peerAddresses: Collection<String>)

    /** Tells peers of newly applied [changes] without waiting for the next exchange. */
    public fun pushChanges(changes: List<Change>)

    public fun shareReports(reports: List<LoadReport>)

    public fun sendDemand(to: InstanceId, demand: List<LimitDemand>)

    public fun sendGrants(to: InstanceId, grants: List<LimitGrant>)

    /** Tells peers that this node is leaving; it stays a member until [stop]. */
    public fun leave()

    /** Takes [leave] back, as by a node that regained what it needs to serve. */
    public fun cancelLeave()

    public suspend fun stop()
}
