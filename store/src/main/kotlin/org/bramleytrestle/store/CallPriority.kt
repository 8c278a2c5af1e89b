package org.bramleytrestle.store

/** Priority in which waiting calls receive tokens from a node's budget, highest first. */
public enum class CallPriority {
    /** A late renewal loses the lease. */
    LEASE,

    /** Settings must take effect on all nodes within seconds. */
    CHANGE,

    /** A caller is waiting for the response. */
    CALL_RECORD,
    OTHER,

    /** Large and safe to retry; the last successful list stays in use meanwhile. */
    LIST;

    internal companion object {
        fun of(operation: String, kind: String) = when {
            operation == "list" -> LIST
            kind == "leases" -> LEASE
            kind == "changes" -> CHANGE
            kind == "calls" -> CALL_RECORD
            else -> OTHER
        }
    }
}
