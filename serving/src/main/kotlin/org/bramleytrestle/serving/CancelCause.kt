package org.bramleytrestle.serving

/** Why the watchdog ended an exchange. */
public enum class CancelCause {
    DEADLINE,
    DEPARTED,
    STALLED
}
