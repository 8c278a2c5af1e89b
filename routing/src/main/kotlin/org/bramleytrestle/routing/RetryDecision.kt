package org.bramleytrestle.routing

import kotlin.time.Duration
import org.bramleytrestle.model.ErrorKind

/** Decision on a failed attempt. */
public sealed interface RetryDecision {
    /** Run another attempt with [work] after [delay]. */
    public data class Retry(val work: Work, val delay: Duration) : RetryDecision

    /** Fail the request with [kind]. */
    public data class GiveUp(val kind: ErrorKind) : RetryDecision
}
