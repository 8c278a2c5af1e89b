package org.bramleytrestle.serving

/** Result of a placement order. */
public enum class PlacementOutcome {
    BEGUN,
    HOLDS_ALREADY,

    /** The server's state or its number of begun orders differs from the expected one. */
    CONFLICT,

    /** Another server now uses the address, or the order is invalid for the server. */
    REFUSED,

    /** No answer: the order may still be carried out, possibly much later. */
    UNKNOWN
}
