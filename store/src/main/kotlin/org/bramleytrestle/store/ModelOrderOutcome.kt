package org.bramleytrestle.store

/** Result of sending an order to an engine. */
public enum class ModelOrderOutcome {
    ACCEPTED,
    STALE_FENCING_NUMBER,
    UNKNOWN
}
