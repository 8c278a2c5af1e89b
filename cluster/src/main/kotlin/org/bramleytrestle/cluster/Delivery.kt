package org.bramleytrestle.cluster

/** How a full send queue treats a frame. */
internal enum class Delivery {
    /** Dropped when the queue is full, oldest first: a later heartbeat or report supersedes it. */
    REPLACEABLE,

    /** Never dropped; if these frames exceed their limit, the connection is closed. */
    RETAINED
}
