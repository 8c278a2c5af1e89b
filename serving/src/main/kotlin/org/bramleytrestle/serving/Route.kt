package org.bramleytrestle.serving

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Requests of one host below one path and how they are served.
 *
 * @property timeout longest time that a request may stay without its final answer.
 * @property targetLatency time to the answer, or to the first event, that callers expect.
 * @property maxEventGap longest time between two events of a stream that callers take as usual.
 * @property maxServers number of servers that one request may be sent to.
 * @property resumable whether a stream that broke off may go on at another server.
 */
public data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RequestKind,
    val timeout: Duration,
    val targetLatency: Duration,
    val shares: List<ServiceShare>,
    val priority: Int = 0,
    val maxServers: Int = 1,
    val publicAccess: Boolean = false,
    val resumable: Boolean = false,
    val maxEventGap: Duration = DEFAULT_MAX_EVENT_GAP
) {
    /** Whether another run of the same request is harmless. */
    val repeatable: Boolean
        get() = kind == RequestKind.IDEMPOTENT || kind == RequestKind.STREAM && resumable

    public companion object {
        /** For routes that state none; at this pace readers no longer see a text flow. */
        public val DEFAULT_MAX_EVENT_GAP: Duration = 200.milliseconds
    }
}
