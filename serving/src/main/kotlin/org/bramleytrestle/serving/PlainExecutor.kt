package org.bramleytrestle.serving

import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import org.bramleytrestle.model.ErrorKind

/**
 * Serves requests whose answer comes whole from one server.
 *
 * A request that may run once is sent again only after proof that it did not run. A repeatable one
 * is also sent again after a failure, a server's own error, and silence that is long against the
 * target latency.
 */
public class PlainExecutor(
    private val selector: ServerSelector,
    private val client: ServerClient,
    private val budgets: RetryBudgets,
    private val watchdog: Watchdog,
    private val now: () -> Moment = Moment::now
) {
    /** What is left of the request after the attempts so far. */
    private class Progress {
        val tried = mutableSetOf<String>()
        var reached = 0

        /** Whether the repeat after a stall was taken from the budget before the stall's end. */
        @Volatile
        var repeatTaken = false
        var mayHaveRun = false
        var failedAnswer: ServerReply.Whole? = null
        var lastReason = "no server is ready"
    }

    public fun run(task: RequestTask): RequestOutcome {
        val active = watchdog.watch(task.deadlineNanos, task.request.departed)
        try {
            budgets.countFirst(task.service.name)
            val progress = Progress()
            while (mayTry(task, progress)) {
                val server = selector.server(task.service.name, progress.tried) ?: break
                val paid = progress.reached == 0 || progress.repeatTaken
                if (!paid && !budgets.tryRetry(task.service.name)) break
                progress.repeatTaken = false
                attempt(task, server, progress, active)?.let { return it }
                val cause = active.cause
                if (cause == CancelCause.DEADLINE || cause == CancelCause.DEPARTED) break
            }
            return finish(task, progress, active)
        } finally {
            watchdog.done(active)
        }
    }

    private fun mayTry(task: RequestTask, progress: Progress) =
        progress.reached < task.route.maxServers &&
            progress.tried.size < task.route.maxServers + UNREACHED_EXTRA &&
            left(task) > LEAST_TIME

    private fun attempt(
        task: RequestTask,
        server: BackendServer,
        progress: Progress,
        active: ActiveRequest
    ): RequestOutcome? {
        progress.tried += server.id
        val load = selector.load(server)
        task.trace.attempt(server.id, "${load.estimate}/${server.slots}")
        val call = ServerCall(
            task.request,
            server,
            stream = task.route.kind == RequestKind.STREAM,
            remaining = left(task),
            organisation = task.owner?.name,
            lastEvent = task.request.lastEvent,
            load = load
        )
        val exchange = client.open(call)
        load.started()
        val answer = try {
            active.arm(exchange, now().steadyNanos, patience(task, progress)) {
                budgets.tryRetry(task.service.name).also { progress.repeatTaken = it }
            }
            exchange.await()
        } finally {
            active.disarm()
            load.ended()
        }
        try {
            return settle(task, answer, load, progress, active)
        } finally {
            exchange.close()
        }
    }

    private fun settle(
        task: RequestTask,
        answer: ServerReply,
        load: ServerLoad,
        progress: Progress,
        active: ActiveRequest
    ): RequestOutcome? {
        when (answer) {
            is ServerReply.Whole -> {
                progress.reached++
                progress.mayHaveRun = true
                task.trace.result("status ${answer.status}")
                if (answer.failed && task.route.repeatable) {
                    load.failed()
                    progress.failedAnswer = answer
                    progress.lastReason = "server answered ${answer.status}"
                    return null
                }
                load.succeeded()
                task.reply.answer(answer)
                return RequestOutcome.answered("status ${answer.status}")
            }
            is ServerReply.NotRun -> {
                task.trace.result("not run: ${answer.reason}")
                if (answer.reached) progress.reached++
                if (!answer.reached || answer.misdirected) load.failed()
                progress.lastReason = answer.reason
            }
            is ServerReply.Broken -> {
                task.trace.result("${answer.reason} ${active.cause ?: ""}")
                progress.reached++
                progress.mayHaveRun = true
                progress.lastReason = answer.reason
                if (active.cause == null || active.cause == CancelCause.STALLED) load.failed()
                if (!task.route.repeatable) {
                    return fail(
                        task,
                        ErrorKind.OUTCOME_UNKNOWN,
                        answer.reason
                    )
                }
            }
            is ServerReply.Events -> return relay(task, answer)
        }
        return null
    }

    /** Passes on a stream of a service without layers; it cannot be repaired here. */
    private fun relay(task: RequestTask, events: ServerReply.Events): RequestOutcome {
        task.reply.beginStream(events)
        try {
            while (true) task.reply.event(events.next() ?: break)
        } catch (e: CallerReply.CallerGone) {
            throw e
        } catch (e: IOException) {
            task.reply.abort()
            return RequestOutcome.failed(ErrorKind.BACKEND_FAILED, "stream broke off: $e")
        }
        task.reply.endStream()
        return RequestOutcome.answered("stream")
    }

    private fun finish(
        task: RequestTask,
        progress: Progress,
        active: ActiveRequest
    ): RequestOutcome {
        progress.failedAnswer?.let { answer ->
            task.reply.answer(answer)
            return RequestOutcome.failed(null, "passed on status ${answer.status}")
        }
        val late = active.cause == CancelCause.DEADLINE || left(task) <= LEAST_TIME
        return when {
            !progress.mayHaveRun -> fail(task, ErrorKind.OVERLOADED, progress.lastReason)
            late -> fail(task, ErrorKind.DEADLINE_EXCEEDED, progress.lastReason)
            else -> fail(task, ErrorKind.BACKEND_FAILED, progress.lastReason)
        }
    }

    private fun fail(task: RequestTask, kind: ErrorKind, detail: String) =
        refuseTask(task.request, task.reply, kind, detail, now())

    /** Longest silence of the server before a repeatable request goes to another one. */
    private fun patience(task: RequestTask, progress: Progress): Duration? {
        val last = progress.reached + 1 >= task.route.maxServers
        if (!task.route.repeatable || last) return null
        return maxOf(SHORTEST_PATIENCE, task.route.targetLatency * PATIENCE_FACTOR)
    }

    private fun left(task: RequestTask): Duration =
        (task.deadlineNanos - now().steadyNanos).nanoseconds

    private companion object {
        /** Servers that could not be connected to do not count as tried, but end the search. */
        const val UNREACHED_EXTRA = 2

        /** An attempt with less time than this cannot be answered. */
        val LEAST_TIME = 15.milliseconds
        val SHORTEST_PATIENCE = 100.milliseconds
        const val PATIENCE_FACTOR = 1.5
    }
}
