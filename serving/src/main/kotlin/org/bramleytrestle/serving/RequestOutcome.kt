package org.bramleytrestle.serving

import org.bramleytrestle.model.ErrorKind

/** How a request ended, for logs and metrics. */
public data class RequestOutcome(val answered: Boolean, val kind: ErrorKind?, val detail: String) {
    public companion object {
        public fun answered(detail: String): RequestOutcome = RequestOutcome(true, null, detail)

        public fun failed(kind: ErrorKind?, detail: String): RequestOutcome =
            RequestOutcome(false, kind, detail)
    }
}
