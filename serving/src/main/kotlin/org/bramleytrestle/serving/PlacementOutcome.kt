package org.bramleytrestle.serving

/** What a server answered to an order. */
public enum class PlacementOutcome {
    BEGUN,
    HOLDS_ALREADY,

    /** The server's state or its count of orders is another than expected. */
    CONFLICT,

    /** The address belongs to another server now, or the order makes no sense to it. */
    REFUSED,

    /** No answer: the order may be carried out, also much later. */
    UNKNOWN
}
