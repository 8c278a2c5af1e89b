package org.bramleytrestle.serving

/** What may be done with a request whose first attempt gave no answer. */
public enum class RequestKind {
    /** May run any number of times. */
    IDEMPOTENT,

    /** May run once at most, so it is sent again only after proof that it did not run. */
    AT_MOST_ONCE,

    /** An answer of numbered events; runs once at most unless the route lets streams resume. */
    STREAM
}
