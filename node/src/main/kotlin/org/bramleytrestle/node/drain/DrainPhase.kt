package org.bramleytrestle.node.drain

/** Phases of a node's planned stop. */
internal enum class DrainPhase {
    RUNNING,

    /** Absent from the entries answer, still accepting requests of callers that kept one. */
    LEAVING,

    /** Refuses new requests as not run and finishes those in flight. */
    REFUSING,
    DONE
}
