package org.bramleytrestle.serving

import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.bramleytrestle.model.ErrorKind

/**
 * Executes requests that a single server answers.
 *
 * An at-most-once request is retried only after proof that it did not run. An idempotent request is
 * also retried after a failure, after a server error response, and after a stall that is long
 * compared with the target latency.
 */
public class PlainExecutor(
    private val selector: ServerSelector,
    private val client: ServerClient,
    private val budgets: RetryBudgets,
    private val watchdog: Watchdog,
    private val quarantine: RequestQuarantine,
    private val now: () -> Moment = Moment::now
) {
    public fun run(task: RequestTask): RequestOutcome {
        val active = watchdog.watch(task.deadlineNanos, task.request.disconnected)
        try {
            budgets.countFirst(task.service.name)
            val attempts = AttemptTracker(task, active, budgets, quarantine, MIN_REMAINING, now)
            val tried = mutableSetOf<String>()
            while (attempts.canAttempt() && attempts.canUseNewServer) {
                val server = selector.takeServer(task.service.name, tried)
                if (server == null) {
                    attempts.heldBackFor = selector.timeUntilTake(task.service.name)
                    break
                }
                if (!attempts.acquire()) break
                tried += server.id
                attempt(task, server, attempts, active)?.let { return it }
            }
            return attempts.fail()
        } finally {
            watchdog.unwatch(active)
        }
    }

    private fun attempt(
        task: RequestTask,
        server: BackendServer,
        attempts: AttemptTracker,
        active: ActiveRequest
    ): RequestOutcome? {
        val load = selector.load(server)
        task.trace.attempt(server.id, "${load.estimate}/${server.slots}")
        val call = ServerCall(
            task.request,
            server,
            stream = task.route.kind == RequestKind.STREAM,
            remaining = attempts.remaining,
            organisation = task.organisation?.name,
            lastEvent = task.request.lastEvent,
            load = load
        )
        val exchange = client.open(call)
        load.started()
        try {
            val stallTimeout = stallTimeout(task, attempts)
            active.arm(exchange, now().monotonicNanos, stallTimeout, attempts::reserveRetry)
            val answer = exchange.await()
            active.progress(now().monotonicNanos, null)
            attempts.record(server, answer)
            return settle(task, answer, server, attempts, active)
        } finally {
            // A stream goes on after its head, and so do the deadline and the look for the caller.
            active.disarm()
            load.ended()
            exchange.close()
        }
    }

    private fun settle(
        task: RequestTask,
        answer: ServerReply,
        server: BackendServer,
        attempts: AttemptTracker,
        active: ActiveRequest
    ): RequestOutcome? {
        val load = selector.load(server)
        when (answer) {
            is ServerReply.Complete -> {
                task.trace.result("status ${answer.status}")
                if (answer.isServerError && task.route.idempotent) {
                    load.failed()
                    return null
                }
                load.succeeded()
                quarantine.onAnswered(task.request.content)
                task.reply.answer(answer)
                return RequestOutcome.answered("status ${answer.status}")
            }
            is ServerReply.NotRun -> {
                task.trace.result("not run: ${answer.reason}")
                if (!answer.reached) {
                    selector.serverFailed(server)
                } else if (answer.misdirected) {
                    load.failed()
                }
            }
            is ServerReply.Failed -> {
                task.trace.result("${answer.reason} ${active.cancelCause ?: ""}")
                if (active.cancelCause == null || active.cancelCause == CancelCause.STALLED) {
                    load.failed()
                }
                if (active.cancelCause == null) {
                    quarantine.onBroken(task.request.content, server, begun = false)
                }
                if (!task.route.idempotent) return attempts.refuse(ErrorKind.OUTCOME_UNKNOWN)
            }
            is ServerReply.Stream -> return relay(task, answer, server, active)
        }
        return null
    }

    /** Forwards the stream of a service without layers; it cannot be resumed on another server. */
    private fun relay(
        task: RequestTask,
        events: ServerReply.Stream,
        server: BackendServer,
        active: ActiveRequest
    ): RequestOutcome {
        task.reply.beginStream(events)
        val beganAt = now()
        var count = 0
        try {
            while (true) {
                task.reply.event(events.next() ?: break)
                quarantine.onEvent(task.request.content, ++count, now().since(beganAt))
            }
        } catch (e: CallerReply.CallerDisconnectedException) {
            throw e
        } catch (e: IOException) {
            if (active.cancelCause == null) {
                val ran = now().since(beganAt)
                quarantine.onBroken(task.request.content, server, begun = true, count, ran)
            }
            task.reply.abort()
            val late = active.cancelCause == CancelCause.DEADLINE
            return RequestOutcome.failed(
                if (late) ErrorKind.DEADLINE_EXCEEDED else ErrorKind.BACKEND_FAILED,
                "stream interrupted: $e ${active.cancelCause ?: ""}"
            )
        }
        quarantine.onAnswered(task.request.content)
        task.reply.endStream()
        return RequestOutcome.answered("stream")
    }

    /** Time without an answer after which an idempotent request goes to another server. */
    private fun stallTimeout(task: RequestTask, attempts: AttemptTracker): Duration? {
        if (!task.route.idempotent || attempts.onLastServer) return null
        return maxOf(MIN_STALL_TIMEOUT, task.route.targetLatency * STALL_TIMEOUT_FACTOR)
    }

    private companion object {
        /** With less time left, an attempt cannot be answered before the deadline. */
        val MIN_REMAINING = 15.milliseconds
        val MIN_STALL_TIMEOUT = 100.milliseconds
        const val STALL_TIMEOUT_FACTOR = 1.5
    }
}
