package org.bramleytrestle.backend

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a chain of engines is run. The serial names are used in settings. */
@Serializable
public enum class RunnerKind {
    /** Each engine forwards its hidden states to the next one. */
    @SerialName("engine-forwarded")
    ENGINE_FORWARDED,

    /** The node calls each hop for each token. */
    @SerialName("node-driven")
    NODE_DRIVEN
}
