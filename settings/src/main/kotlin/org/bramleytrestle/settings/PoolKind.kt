package org.bramleytrestle.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What the backend servers of a pool are. */
@Serializable
public enum class PoolKind {
    @SerialName("engine")
    ENGINE,

    @SerialName("service")
    SERVICE
}
