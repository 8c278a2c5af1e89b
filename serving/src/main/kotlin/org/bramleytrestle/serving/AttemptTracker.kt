package org.bramleytrestle.serving

import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import org.bramleytrestle.model.ErrorKind

/**
 * Tracks the attempts of one request and decides whether another one is allowed.
 *
 * A route limits the number of distinct servers that receive a request, whether they run or refuse
 * it. A server that received the request may receive it again, so that a stream can resume on
 * another chain that starts at the same server.
 */
internal class AttemptTracker(
    private val task: RequestTask,
    private val active: ActiveRequest,
    private val budgets: RetryBudgets,
    private val quarantine: RequestQuarantine,
    private val minRemaining: Duration,
    private val now: () -> Moment
) {
    /** Concurrent because the watchdog thread reads it when it decides on a stalled exchange. */
    private val servers: MutableSet<String> = ConcurrentHashMap.newKeySet()

    @Volatile
    private var sends = 0

    @Volatile
    private var connectFailures = 0

    /** Whether a retry was taken from the budget before the stalled attempt was cancelled. */
    @Volatile
    private var retryReserved = false

    /** Whether a server could take the request, but the retry budget did not allow it. */
    private var retryDenied = false

    @Volatile
    var mayHaveRun = false
        private set

    /** A server error response, returned to the caller if no other attempt succeeds. */
    private var serverError: ServerReply.Complete? = null

    @Volatile
    var lastReason = "no server is ready"

    /** Time until a server that holds back this node's requests accepts one; null if none does. */
    var heldBackFor: Duration? = null

    /** Why the request must not reach a server, because it may crash it; null if it may. */
    private val withheldAs: ErrorKind? get() = quarantine.refusalOf(task.request.content)

    val remaining: Duration get() = (task.deadlineNanos - now().monotonicNanos).nanoseconds

    /** Whether a server that has not received the request yet may receive it. */
    val canUseNewServer: Boolean get() = servers.size < task.route.maxServers

    /** Whether the next new server is the last one that the route allows. */
    val onLastServer: Boolean get() = servers.size + 1 >= task.route.maxServers

    /**
     * Whether the deadline, the caller's connection and the route allow another attempt.
     *
     * @param begun whether the caller has received a part of the answer, so that giving up costs
     * more than trying servers which may have gone.
     */
    fun canAttempt(begun: Boolean = false): Boolean = active.cancelCause != CancelCause.DEADLINE &&
        active.cancelCause != CancelCause.DEPARTED &&
        sends < task.route.maxServers * SENDS_PER_SERVER &&
        connectFailures <= (if (begun) MAX_RESUME_CONNECT_FAILURES else MAX_CONNECT_FAILURES) &&
        remaining > minRemaining &&
        withheldAs == null &&
        !task.request.disconnected()

    fun allows(server: BackendServer): Boolean = canUseNewServer || hasReached(server)

    /** Whether [server] has received the request. */
    fun hasReached(server: BackendServer): Boolean = server.id in servers

    /**
     * Admits the next attempt: the first one always, a later one if the retry budget allows.
     *
     * @param reserve part of the retry budget that is left to more important retries.
     */
    fun acquire(reserve: Double = 0.0): Boolean {
        if (withheldAs != null) return false
        val reserved = retryReserved
        retryReserved = false
        if (reserved || sends == 0) return true
        return budgets.tryRetry(task.service.name, reserve).also { retryDenied = !it }
    }

    /** Takes the next attempt from the retry budget while the current one is still running. */
    fun reserveRetry(reserve: Double = 0.0): Boolean =
        budgets.tryRetry(task.service.name, reserve).also { retryReserved = it }

    /** Takes an attempt beside the current one from the budget, if one more is left after it. */
    fun acquireHedge(reserve: Double): Boolean = withheldAs == null &&
        sends + 2 < task.route.maxServers * SENDS_PER_SERVER &&
        budgets.tryRetry(task.service.name, reserve)

    /** Records the result of an attempt at [server]; concurrent attempts end in any order. */
    @Synchronized
    fun record(server: BackendServer, answer: ServerReply) {
        if (answer is ServerReply.NotRun && !answer.reached) {
            connectFailures++
            lastReason = answer.reason
            return
        }
        sends++
        servers += server.id
        when (answer) {
            is ServerReply.NotRun -> lastReason = answer.reason
            is ServerReply.Failed -> lastReason = answer.reason
            is ServerReply.Complete -> {
                lastReason = "server answered ${answer.status}"
                if (answer.isServerError && task.route.idempotent) serverError = answer
            }
            is ServerReply.Stream -> serverError = null
        }
        if (answer !is ServerReply.NotRun) mayHaveRun = true
    }

    val failureKind: ErrorKind
        get() {
            val late = active.cancelCause == CancelCause.DEADLINE || remaining <= minRemaining
            return when {
                !mayHaveRun -> withheldAs ?: ErrorKind.OVERLOADED
                late -> ErrorKind.DEADLINE_EXCEEDED
                else -> ErrorKind.BACKEND_FAILED
            }
        }

    /** Answers a failed request of which nothing has been sent to the caller yet. */
    fun fail(): RequestOutcome {
        val answer = serverError ?: return refuse(failureKind)
        task.reply.answer(answer)
        return RequestOutcome.failed(null, "forwarded server status ${answer.status}")
    }

    fun refuse(kind: ErrorKind): RequestOutcome {
        val stream = task.route.kind == RequestKind.STREAM
        // The last reason is that of an attempt; a withheld request may have had none.
        val detail = when {
            kind in WITHHELD -> kind.title
            heldBackFor != null -> "$lastReason; servers take none of this node for $heldBackFor"
            else -> lastReason
        }
        return refuseTask(
            task.request,
            task.reply,
            kind,
            detail,
            now(),
            stream,
            earliest = heldBackFor?.takeIf { it.isFinite() } ?: Duration.ZERO,
            hasRoom = retryDenied
        )
    }

    private companion object {
        val WITHHELD = setOf(ErrorKind.PROMPT_WITHHELD, ErrorKind.REQUEST_WITHHELD)

        /** Allows one further send per permitted server, to servers that had the request before. */
        const val SENDS_PER_SERVER = 2

        /** A failed connect does not count as a used server, but too many end the request. */
        const val MAX_CONNECT_FAILURES = 2

        /** The same for a stream that has begun; callers wait 2 s, eight attempts to connect. */
        const val MAX_RESUME_CONNECT_FAILURES = 8
    }
}
