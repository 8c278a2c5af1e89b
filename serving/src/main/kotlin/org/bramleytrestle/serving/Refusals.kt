package org.bramleytrestle.serving

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bramleytrestle.model.ErrorKind

/**
 * Range of the retry delay if no server can take the request, about the time in which servers
 * recover. Delays are spread so that refused callers do not retry all at once.
 */
private val RECOVERY = 200.milliseconds..4.seconds

/**
 * The same for streams on model servers: a failed server starts again within some seconds and then
 * loads weights. A caller that returns sooner is refused again and has no further retry.
 */
private val MODEL_RECOVERY = 4.seconds..8.seconds

/** The same if another node can serve the request immediately. */
private val OTHER_NODE = 20.milliseconds..150.milliseconds

/**
 * The same if servers have room, but this node may not send the request again: the time in which
 * nodes learn of the server that failed. The caller's own retry is a new request.
 */
private val ROOM_ELSEWHERE = 100.milliseconds..300.milliseconds

/** A retry delay of at most this part of the remaining time leaves enough of it for the answer. */
private const val REMAINING_SHARE = 0.25

/** Callers follow a delay of at most a third of their remaining time; the rest is a margin. */
private const val STREAM_REMAINING_SHARE = 0.3

/**
 * Refuses a request, with a retry delay if a retry can succeed.
 *
 * @param earliest time until a server accepts a request again, as far as servers have told.
 * @param hasRoom whether another server could have taken the request.
 */
internal fun refuseTask(
    request: CallerRequest,
    reply: CallerReply,
    kind: ErrorKind,
    detail: String,
    at: Moment,
    stream: Boolean = false,
    random: Random = Random.Default,
    earliest: Duration = Duration.ZERO,
    hasRoom: Boolean = false
): RequestOutcome {
    val recovery = when {
        stream && hasRoom -> ROOM_ELSEWHERE
        stream -> MODEL_RECOVERY
        else -> RECOVERY
    }
    val range = if (earliest > recovery.start) earliest..earliest + recovery.width else recovery
    val otherNode = kind == ErrorKind.LEAVING || kind == ErrorKind.PLATFORM_UNAVAILABLE
    val retryAfter = when {
        !kind.retryable -> null
        otherNode -> retryAfter(request, at, OTHER_NODE, REMAINING_SHARE, random)
        stream -> retryAfter(request, at, range, STREAM_REMAINING_SHARE, random)
        else -> retryAfter(request, at, range, REMAINING_SHARE, random)
    }
    reply.refuse(kind, detail, retryAfter)
    return RequestOutcome.failed(kind, detail)
}

private val ClosedRange<Duration>.width get() = endInclusive - start

private fun retryAfter(
    request: CallerRequest,
    at: Moment,
    range: ClosedRange<Duration>,
    remainingShare: Double,
    random: Random
): Duration {
    val timeout = request.timeout ?: (range.endInclusive / remainingShare)
    val remaining = timeout - at.since(request.receivedAt)
    val latest = minOf(range.endInclusive, remaining * remainingShare).coerceAtLeast(Duration.ZERO)
    // Delays that the remaining time cuts short keep their spread.
    val earliest = range.start * (latest / range.endInclusive)
    return earliest + (latest - earliest) * random.nextDouble()
}
