package org.bramleytrestle.serving

import kotlin.time.Duration

/** A request that was let in, with all that its execution needs. */
public class RequestTask(
    public val request: CallerRequest,
    public val reply: CallerReply,
    public val route: Route,
    public val service: BackendService,
    public val owner: Organisation?,
    public val patience: Duration,
    public val trace: RequestTrace
) {
    public val deadlineNanos: Long
        get() = request.receivedAt.monotonicNanos + patience.inWholeNanoseconds

    /** Rank among waiting requests, 0 first; an organisation's goes before its route's. */
    public val urgency: Int
        get() = owner?.priority ?: route.priority
}
