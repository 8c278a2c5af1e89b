package org.bramleytrestle.node.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Who forwards hidden states from stage to stage. */
@Serializable
internal enum class ChainMode {
    @SerialName("engine-forwarded")
    ENGINE_FORWARDED,

    @SerialName("node-driven")
    NODE_DRIVEN
}
