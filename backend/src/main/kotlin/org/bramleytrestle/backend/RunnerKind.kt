package org.bramleytrestle.backend

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The ways to run a chain, by the names that settings use. */
@Serializable
public enum class RunnerKind {
    /** The engines forward hidden states to each other. */
    @SerialName("engine-forwarded")
    ENGINE_FORWARDED,

    /** The node calls each hop for each token. */
    @SerialName("node-driven")
    NODE_DRIVEN
}
