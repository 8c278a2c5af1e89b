package org.bramleytrestle.serving

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bramleytrestle.model.ErrorKind

/** Shortest time after which a refused caller may come back if servers are missing. */
private val SOONEST_RETURN = 200.milliseconds

/**
 * Longest such time, about the time in which servers return. Returns spread between the two, so
 * that they do not come as one wave.
 */
private val LATEST_RETURN = 4.seconds

/** The same two if another node can serve the request at once. */
private val SOONEST_RETURN_ELSEWHERE = 20.milliseconds
private val LATEST_RETURN_ELSEWHERE = 150.milliseconds

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
    val retryAfter = when {
        !kind.retryable -> null
        elsewhere -> retryAfter(request, at, SOONEST_RETURN_ELSEWHERE, LATEST_RETURN_ELSEWHERE)
        else -> retryAfter(request, at, SOONEST_RETURN, LATEST_RETURN)
    }
    reply.refuse(kind, detail, retryAfter)
    return RequestOutcome.failed(kind, detail)
}

private fun retryAfter(
    request: CallerRequest,
    at: Moment,
    soonest: Duration,
    longest: Duration
): Duration {
    val left = (request.timeout ?: (longest * RETURN_SHARE)) - at.since(request.receivedAt)
    val latest = minOf(longest, left / RETURN_SHARE).coerceAtLeast(Duration.ZERO)
    val first = minOf(soonest, latest)
    return first + (latest - first) * Random.nextDouble()
}
