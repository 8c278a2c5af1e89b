package org.bramleytrestle.store

/** How an engine answered an order. */
public enum class ModelOrderOutcome {
    ACCEPTED,
    STALE_FENCING_NUMBER,
    UNKNOWN
}
