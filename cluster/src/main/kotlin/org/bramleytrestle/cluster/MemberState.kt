package org.bramleytrestle.cluster

import kotlinx.serialization.Serializable

/** State of a member as its peers see it. */
@Serializable
public enum class MemberState {
    ALIVE,
    SUSPECT,
    LEAVING,
    DEAD
}
