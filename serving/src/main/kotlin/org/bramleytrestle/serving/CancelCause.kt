package org.bramleytrestle.serving

/** Why the watchdog cancelled an exchange. */
public enum class CancelCause {
    DEADLINE,

    /** The caller closed its connection. */
    DEPARTED,

    /** The server sent nothing within the stall timeout. */
    STALLED
}
