package org.bramleytrestle.backend

/** The ways to run a chain, by the names that settings use. */
public enum class RunnerKind(public val wireName: String) {
    ENGINE_FORWARDED("engine-forwarded"),
    NODE_DRIVEN("node-driven")
}
