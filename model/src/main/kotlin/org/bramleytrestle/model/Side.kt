package org.bramleytrestle.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The serving system of a backend server while the old and the new one run in parallel. */
@Serializable
public enum class Side {
    @SerialName("old")
    OLD,

    @SerialName("new")
    NEW
}
