package org.bramleytrestle.routing

import kotlin.time.Duration
import org.bramleytrestle.model.ErrorKind

/** Decision on a failed attempt. */
public sealed interface RetryDecision {
    /** Try [work] again after [delay]. */
    public data class Again(val work: Work, val delay: Duration) : RetryDecision

    public data class GiveUp(val kind: ErrorKind) : RetryDecision
}
