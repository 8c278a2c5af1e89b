package org.bramleytrestle.backend

/** How an engine answered an order. */
public enum class OrderOutcome {
    ACCEPTED,
    STALE_FENCING_NUMBER,
    UNKNOWN
}
