package org.bramleytrestle.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Role of an instance in the platform's instance list. */
@Serializable
public enum class InstanceRole {
    @SerialName("entry")
    ENTRY,

    @SerialName("engine")
    ENGINE,

    @SerialName("service")
    SERVICE
}
