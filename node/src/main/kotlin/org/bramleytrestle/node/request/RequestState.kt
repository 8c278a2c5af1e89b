package org.bramleytrestle.node.request

/** States of a request; the last three are terminal. */
internal enum class RequestState {
    RECEIVED,
    QUEUED,
    DISPATCHED,
    STREAMING,
    COMPLETED,
    REFUSED,
    FAILED;

    val isTerminal: Boolean get() = this >= COMPLETED

    /** Whether a request may change from this state to [next]. */
    fun canTransitionTo(next: RequestState): Boolean = when (this) {
        RECEIVED -> next in setOf(QUEUED, REFUSED)
        QUEUED -> next in setOf(DISPATCHED, REFUSED, FAILED)
        DISPATCHED -> next in setOf(STREAMING, COMPLETED, QUEUED, REFUSED, FAILED)
        STREAMING -> next in setOf(COMPLETED, QUEUED, FAILED)
        COMPLETED, REFUSED, FAILED -> false
    }
}
