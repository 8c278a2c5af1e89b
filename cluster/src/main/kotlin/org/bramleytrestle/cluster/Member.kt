package org.bramleytrestle.cluster

import kotlinx.serialization.Serializable
import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.InstanceId

/**
 * One node as its peers see it.
 *
 * @property peerAddress `host:port` of the peer listener.
 * @property callerAddress base URL for callers.
 * @property incarnation raised by the member itself to refute an older state.
 * @property appliedRevision settings revision the member last stated.
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
