package org.bramleytrestle.serving

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bramleytrestle.model.ErrorKind

/** Shortest time after which a refused caller may come back. */
private val SOONEST_RETURN = 200.milliseconds

/** Longest such time if another node can serve the request at once. */
private val LATEST_RETURN_ELSEWHERE = 400.milliseconds

/**
 * Longest such time if servers are missing, about the time in which they return. Returns spread
 * between the two, so that they do not come as one wave.
 */
private val LATEST_RETURN = 4.seconds

/** Part of the time left within which a return still leaves time for the answer. */
private const val RETURN_SHARE = 4

/** Refuses a request that has not run, with a time to come back if that can help. */
internal fun refuseTask(
    request: CallerRequest,
    reply: CallerReply,
    kind: ErrorKind,
    detail: String,
    at: Moment
): RequestOutcome {
    val elsewhere = kind == ErrorKind.LEAVING || kind == ErrorKind.PLATFORM_UNAVAILABLE
    val longest = if (elsewhere) LATEST_RETURN_ELSEWHERE else LATEST_RETURN
    val retryAfter = if (kind.retryable) retryAfter(request, at, longest) else null
    reply.refuse(kind, detail, retryAfter)
    return RequestOutcome.failed(kind, detail)
}

private fun retryAfter(request: CallerRequest, at: Moment, longest: Duration): Duration {
    val left = (request.patience ?: (longest * RETURN_SHARE)) - at.since(request.receivedAt)
    val latest = minOf(longest, left / RETURN_SHARE)
    val span = (latest - SOONEST_RETURN).coerceAtLeast(Duration.ZERO)
    return minOf(SOONEST_RETURN, latest.coerceAtLeast(Duration.ZERO)) + span * Random.nextDouble()
}
