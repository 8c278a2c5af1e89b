package org.bramleytrestle.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The serving system that a backend server belongs to while both run side by side. */
@Serializable
public enum class Side {
    @SerialName("old")
    OLD,

    @SerialName("new")
    NEW
}
