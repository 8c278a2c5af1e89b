package org.bramleytrestle.node.drain

/** Phases of a node's graceful shutdown. */
internal enum class DrainPhase {
    RUNNING,

    /** Not listed in `/v1/entries`; still accepts requests from callers with a cached list. */
    LEAVING,

    /** Refuses new requests, stating that they were not run, and completes those in flight. */
    REFUSING,
    DONE
}
