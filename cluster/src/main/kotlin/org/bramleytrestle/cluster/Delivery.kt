package org.bramleytrestle.cluster

/** What a full send queue does with a frame. */
internal enum class Delivery {
    /** May be dropped, oldest first: the next heartbeat or report replaces it. */
    REPLACEABLE,

    /** Stays queued; a queue that overflows with these closes the connection. */
    KEPT
}
