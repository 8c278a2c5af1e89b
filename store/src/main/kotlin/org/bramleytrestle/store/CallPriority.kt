package org.bramleytrestle.store

/** Order in which waiting calls get the tokens of a node's budget; the first goes first. */
public enum class CallPriority {
    /** A late renewal costs the lease. */
    LEASE,

    /** Settings must be in force everywhere within seconds. */
    CHANGE,

    /** A caller waits for the answer. */
    CALL_RECORD,
    OTHER,

    /** Large and repeatable; the last good list stays in force. */
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
