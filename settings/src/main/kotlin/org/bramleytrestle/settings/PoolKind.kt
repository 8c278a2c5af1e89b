package org.bramleytrestle.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Type of the backend servers in a pool. */
@Serializable
public enum class PoolKind {
    @SerialName("engine")
    ENGINE,

    @SerialName("service")
    SERVICE
}
