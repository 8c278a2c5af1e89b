package org.bramleytrestle.serving

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bramleytrestle.model.ErrorKind

/** Shortest retry delay for a refused caller if no server can take the request. */
private val MIN_RETRY_AFTER = 200.milliseconds

/**
 * Longest retry delay, about the time in which servers recover. Delays are spread between the two
 * limits so that refused callers do not retry all at once.
 */
private val MAX_RETRY_AFTER = 4.seconds

/** The same limits if another node can serve the request immediately. */
private val MIN_RETRY_AFTER_OTHER_NODE = 20.milliseconds
private val MAX_RETRY_AFTER_OTHER_NODE = 150.milliseconds

/** A retry delay of at most 1/4 of the remaining time leaves enough of it for the answer. */
private const val REMAINING_TIME_DIVISOR = 4

/** Refuses a request, with a retry delay if a retry can succeed. */
internal fun refuseTask(
    request: CallerRequest,
    reply: CallerReply,
    kind: ErrorKind,
    detail: String,
    at: Moment
): RequestOutcome {
    val otherNode = kind == ErrorKind.LEAVING || kind == ErrorKind.PLATFORM_UNAVAILABLE
    val retryAfter = when {
        !kind.retryable -> null
        otherNode -> retryAfter(request, at, MIN_RETRY_AFTER_OTHER_NODE, MAX_RETRY_AFTER_OTHER_NODE)
        else -> retryAfter(request, at, MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
    reply.refuse(kind, detail, retryAfter)
    return RequestOutcome.failed(kind, detail)
}

private fun retryAfter(request: CallerRequest, at: Moment, min: Duration, max: Duration): Duration {
    val timeout = request.timeout ?: (max * REMAINING_TIME_DIVISOR)
    val remaining = timeout - at.since(request.receivedAt)
    val latest = minOf(max, remaining / REMAINING_TIME_DIVISOR).coerceAtLeast(Duration.ZERO)
    val earliest = minOf(min, latest)
    return earliest + (latest - earliest) * Random.nextDouble()
}
