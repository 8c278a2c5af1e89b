package org.bramleytrestle.serving

import kotlin.time.Duration

/** An accepted request with everything that its execution needs. */
public class RequestTask(
    public val request: CallerRequest,
    public val reply: CallerReply,
    public val route: Route,
    public val service: BackendService,
    public val organisation: Organisation?,
    public val timeout: Duration,
    public val trace: RequestTrace
) {
    public val deadlineNanos: Long
        get() = request.receivedAt.monotonicNanos + timeout.inWholeNanoseconds

    /** Rank in the server's queue, 0 first; the organisation's priority overrides the route's. */
    public val urgency: Int
        get() = organisation?.priority ?: route.priority
}
