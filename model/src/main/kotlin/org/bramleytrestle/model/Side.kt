package org.bramleytrestle.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a backend server belongs to the old or the new of two parallel serving systems. */
@Serializable
public enum class Side {
    @SerialName("old")
    OLD,

    @SerialName("new")
    NEW
}
