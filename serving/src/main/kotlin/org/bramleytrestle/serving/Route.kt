package org.bramleytrestle.serving

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Matches requests by host and path prefix and defines how they are served.
 *
 * @property timeout longest time until the final answer of a request.
 * @property targetLatency expected time to the answer, or to the first event of a stream.
 * @property maxEventGap longest time between two events of a stream that is still on time.
 * @property maxServers number of distinct servers that one request may be sent to.
 * @property resumable whether an interrupted stream may be resumed on another server.
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
    /** Whether running the same request more than once is harmless. */
    val idempotent: Boolean
        get() = kind == RequestKind.IDEMPOTENT || kind == RequestKind.STREAM && resumable

    /** Time for which callers wait for the first event of a stream. */
    val patience: Duration
        get() = maxOf(
            MIN_PATIENCE,
            targetLatency * PATIENCE_TARGETS,
            maxEventGap * PATIENCE_GAPS
        )

    public companion object {
        /** Default for routes that set none. With longer gaps readers notice pauses in the text. */
        public val DEFAULT_MAX_EVENT_GAP: Duration = 200.milliseconds

        private val MIN_PATIENCE = 2.seconds
        private const val PATIENCE_TARGETS = 4
        private const val PATIENCE_GAPS = 8
    }
}
