package org.bramleytrestle.serving

import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
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
    public fun run(task: RequestTask): RequestOutcome {
        val active = watchdog.watch(task.deadlineNanos, task.request.disconnected)
        try {
            budgets.countFirst(task.service.name)
            val attempts = Attempts(task, active, budgets, LEAST_TIME, now)
            val tried = mutableSetOf<String>()
            while (attempts.mayTry() && attempts.mayReachMore) {
                val server = selector.server(task.service.name, tried) ?: break
                if (!attempts.pay()) break
                tried += server.id
                attempt(task, server, attempts, active)?.let { return it }
            }
            return attempts.giveUp()
        } finally {
            watchdog.done(active)
        }
    }

    private fun attempt(
        task: RequestTask,
        server: BackendServer,
        attempts: Attempts,
        active: ActiveRequest
    ): RequestOutcome? {
        val load = selector.load(server)
        task.trace.attempt(server.id, "${load.estimate}/${server.slots}")
        val call = ServerCall(
            task.request,
            server,
            stream = task.route.kind == RequestKind.STREAM,
            remaining = attempts.left,
            organisation = task.owner?.name,
            lastEvent = task.request.lastEvent,
            load = load
        )
        val exchange = client.open(call)
        load.started()
        val answer = try {
            val patience = patience(task, attempts)
            active.arm(exchange, now().monotonicNanos, patience, attempts::payAhead)
            exchange.await()
        } finally {
            active.disarm()
            load.ended()
        }
        try {
            attempts.ended(server, answer)
            return settle(task, answer, load, attempts, active)
        } finally {
            exchange.close()
        }
    }

    private fun settle(
        task: RequestTask,
        answer: ServerReply,
        load: ServerLoad,
        attempts: Attempts,
        active: ActiveRequest
    ): RequestOutcome? {
        when (answer) {
            is ServerReply.Complete -> {
                task.trace.result("status ${answer.status}")
                if (answer.failed && task.route.repeatable) {
                    load.failed()
                    return null
                }
                load.succeeded()
                task.reply.answer(answer)
                return RequestOutcome.answered("status ${answer.status}")
            }
            is ServerReply.NotRun -> {
                task.trace.result("not run: ${answer.reason}")
                if (!answer.reached || answer.misdirected) load.failed()
            }
            is ServerReply.Failed -> {
                task.trace.result("${answer.reason} ${active.cause ?: ""}")
                if (active.cause == null || active.cause == CancelCause.STALLED) load.failed()
                if (!task.route.repeatable) return attempts.refuse(ErrorKind.OUTCOME_UNKNOWN)
            }
            is ServerReply.Stream -> return relay(task, answer)
        }
        return null
    }

    /** Passes on a stream of a service without layers; it cannot be repaired here. */
    private fun relay(task: RequestTask, events: ServerReply.Stream): RequestOutcome {
        task.reply.beginStream(events)
        try {
            while (true) task.reply.event(events.next() ?: break)
        } catch (e: CallerReply.CallerDisconnectedException) {
            throw e
        } catch (e: IOException) {
            task.reply.abort()
            return RequestOutcome.failed(ErrorKind.BACKEND_FAILED, "stream broke off: $e")
        }
        task.reply.endStream()
        return RequestOutcome.answered("stream")
    }

    /** Longest silence of the server before a repeatable request goes to another one. */
    private fun patience(task: RequestTask, attempts: Attempts): Duration? {
        if (!task.route.repeatable || attempts.last) return null
        return maxOf(SHORTEST_PATIENCE, task.route.targetLatency * PATIENCE_FACTOR)
    }

    private companion object {
        /** An attempt with less time than this cannot be answered. */
        val LEAST_TIME = 15.milliseconds
        val SHORTEST_PATIENCE = 100.milliseconds
        const val PATIENCE_FACTOR = 1.5
    }
}
