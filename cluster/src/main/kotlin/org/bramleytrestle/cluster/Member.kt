package org.bramleytrestle.cluster

import kotlinx.serialization.Serializable
import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.InstanceId

/**
 * A node as seen by its peers.
 *
 * @property peerAddress `host:port` of the peer listener.
 * @property callerAddress base URL for callers.
 * @property incarnation increased by the member itself to override older states of it.
 * @property appliedRevision latest settings revision that the member is known to have applied.
 */
@Serializable
public data class Member(
    val id: InstanceId,
    val dataCentre: DataCentre,
    val peerAddress: String,
    val callerAddress: String,
    val incarnation: Long = 0,
    val state: MemberState = MemberState.ALIVE,
    val appliedRevision: Long = 0
)
