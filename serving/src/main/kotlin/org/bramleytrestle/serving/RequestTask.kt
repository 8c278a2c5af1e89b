package org.bramleytrestle.serving

import kotlin.time.Duration

/**
 * An accepted request with everything that its execution needs.
 *
 * @property level position of [urgency] among those of the streams of its service, 0 first.
 */
public class RequestTask(
    public val request: CallerRequest,
    public val reply: CallerReply,
    public val route: Route,
    public val service: BackendService,
    public val organisation: Organisation?,
    public val timeout: Duration,
    public val trace: RequestTrace,
    public val level: Int = 0
) {
    public val deadlineNanos: Long
        get() = request.receivedAt.monotonicNanos + timeout.inWholeNanoseconds

    /**
     * Until when an answer, or the first event of a stream, meets the caller's target. A caller
     * that states less time than the route allows has waited before.
     */
    public val aimNanos: Long
        get() {
            val spent = route.timeout - (request.timeout ?: route.timeout)
            val left = route.targetLatency - spent.coerceAtLeast(Duration.ZERO)
            return request.receivedAt.monotonicNanos + left.inWholeNanoseconds
        }

    /** Rank in the server's queue, 0 first; the organisation's priority overrides the route's. */
    public val urgency: Int
        get() = organisation?.priority ?: route.priority
}
