package org.bramleytrestle.node.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How requests are routed; the baseline exists to be measured against. */
@Serializable
internal enum class RoutingMode {
    @SerialName("standard")
    STANDARD,

    /** Round robin, one FIFO queue, no limits. */
    @SerialName("baseline")
    BASELINE
}
