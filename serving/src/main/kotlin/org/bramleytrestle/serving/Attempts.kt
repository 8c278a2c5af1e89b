package org.bramleytrestle.serving

import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import org.bramleytrestle.model.ErrorKind

/**
 * What was tried for one request, and whether it may be sent once more.
 *
 * A route bounds the servers that get a request, whether they run it or refuse it. A server that
 * got it before may get it again, so that a stream can go on at another chain behind that server.
 */
internal class Attempts(
    private val task: RequestTask,
    private val active: ActiveRequest,
    private val budgets: RetryBudgets,
    private val leastTime: Duration,
    private val now: () -> Moment
) {
    /** Read by the watchdog as well, which asks what a silent exchange may still do. */
    private val servers: MutableSet<String> = ConcurrentHashMap.newKeySet()
    private var sends = 0
    private var unreached = 0

    /** Whether the repeat after a stall was taken from the budget before the stall's end. */
    @Volatile
    private var paidAhead = false

    var mayHaveRun = false
        private set

    /** A server's own error, which the caller gets if no other attempt succeeds. */
    private var failedAnswer: ServerReply.Complete? = null
    var lastReason = "no server is ready"

    val left: Duration get() = (task.deadlineNanos - now().monotonicNanos).nanoseconds

    /** Whether a server that did not get the request yet may get it. */
    val mayReachMore: Boolean get() = servers.size < task.route.maxServers

    /** Whether the next server that gets the request for the first time is the last one. */
    val last: Boolean get() = servers.size + 1 >= task.route.maxServers

    /** Whether the request's time, its caller and the route allow one more attempt. */
    fun mayTry(): Boolean = active.cause != CancelCause.DEADLINE &&
        active.cause != CancelCause.DEPARTED &&
        sends < task.route.maxServers * SENDS_PER_SERVER &&
        unreached <= MOST_UNREACHED &&
        left > leastTime

    fun allows(server: BackendServer): Boolean = mayReachMore || server.id in servers

    /** Whether the next attempt is the first or the budget for repeats has room for it. */
    fun pay(): Boolean {
        val paid = paidAhead
        paidAhead = false
        return paid || sends == 0 || budgets.tryRetry(task.service.name)
    }

    /** Takes the next attempt from the budget while the present one still runs. */
    fun payAhead(): Boolean = budgets.tryRetry(task.service.name).also { paidAhead = it }

    /** Notes how an attempt at [server] ended, as far as later attempts depend on it. */
    fun ended(server: BackendServer, answer: ServerReply) {
        if (answer is ServerReply.NotRun && !answer.reached) {
            unreached++
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
                if (answer.failed && task.route.repeatable) failedAnswer = answer
            }
            is ServerReply.Stream -> failedAnswer = null
        }
        if (answer !is ServerReply.NotRun) mayHaveRun = true
    }

    val failureKind: ErrorKind
        get() {
            val late = active.cause == CancelCause.DEADLINE || left <= leastTime
            return when {
                !mayHaveRun -> ErrorKind.OVERLOADED
                late -> ErrorKind.DEADLINE_EXCEEDED
                else -> ErrorKind.BACKEND_FAILED
            }
        }

    /** Answers a request of which the caller has got nothing yet. */
    fun giveUp(): RequestOutcome {
        val answer = failedAnswer ?: return refuse(failureKind)
        task.reply.answer(answer)
        return RequestOutcome.failed(null, "passed on status ${answer.status}")
    }

    fun refuse(kind: ErrorKind): RequestOutcome =
        refuseTask(task.request, task.reply, kind, lastReason, now())

    private companion object {
        /** Sends beyond one for each server that the route allows go to servers that had it. */
        const val SENDS_PER_SERVER = 2

        /** Servers that cannot be connected to do not count as reached, but end the search. */
        const val MOST_UNREACHED = 2
    }
}
