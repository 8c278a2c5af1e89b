package org.bramleytrestle.node.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How requests are routed. [BASELINE] is only a reference for measurements. */
@Serializable
internal enum class RoutingMode {
    @SerialName("standard")
    STANDARD,

    /** Round robin over the servers, a single FIFO queue and no rate limits. */
    @SerialName("baseline")
    BASELINE
}
