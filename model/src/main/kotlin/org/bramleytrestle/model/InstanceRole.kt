package org.bramleytrestle.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What an instance in the platform's list does. */
@Serializable
public enum class InstanceRole {
    @SerialName("entry")
    ENTRY,

    @SerialName("engine")
    ENGINE,

    @SerialName("service")
    SERVICE
}
