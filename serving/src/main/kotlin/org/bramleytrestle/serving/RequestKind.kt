package org.bramleytrestle.serving

/** Determines whether a request may be retried after an attempt without an answer. */
public enum class RequestKind {
    /** May run any number of times. */
    IDEMPOTENT,

    /** May run at most once, so it is retried only after proof that it did not run. */
    AT_MOST_ONCE,

    /** Answered by numbered events; runs at most once unless the route lets streams resume. */
    STREAM
}
