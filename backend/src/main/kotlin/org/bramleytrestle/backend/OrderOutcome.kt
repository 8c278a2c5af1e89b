package org.bramleytrestle.backend

/** Outcome of an order to an engine. */
public enum class OrderOutcome {
    ACCEPTED,
    STALE_FENCING_NUMBER,
    UNKNOWN
}
