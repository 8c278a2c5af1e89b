package org.bramleytrestle.cluster

import kotlinx.serialization.Serializable

/** State of a member as seen by its peers. */
@Serializable
public enum class MemberState {
    ALIVE,
    SUSPECT,
    LEAVING,
    DEAD
}
