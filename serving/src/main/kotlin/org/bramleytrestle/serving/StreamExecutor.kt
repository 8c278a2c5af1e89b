package org.bramleytrestle.serving

import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import org.bramleytrestle.model.ErrorKind

/**
 * Serves streams over chains of model servers. A stream that breaks off or falls silent goes on at
 * another chain after its last whole event, if its route lets it, inside the same answer.
 */
public class StreamExecutor(
    private val selector: ServerSelector,
    private val client: ServerClient,
    private val budgets: RetryBudgets,
    private val watchdog: Watchdog,
    private val stalls: StallInspector,
    private val now: () -> Moment = Moment::now,
    private val pause: (Duration) -> Unit = { Thread.sleep(it.inWholeMilliseconds) }
) {
    private val firstWaits = WaitEstimate(SHORTEST_FIRST_WAIT, LONGEST_FIRST_WAIT)
    private val eventWaits = WaitEstimate(SHORTEST_EVENT_WAIT, LONGEST_EVENT_WAIT)

    private class Progress(var lastEvent: Long?) {
        val tried = mutableSetOf<String>()
        var reached = 0
        var refused = 0
        var unreached = 0

        /** Whether the repeat after a stall was taken from the budget before the stall's end. */
        @Volatile
        var repeatTaken = false
        var mayHaveRun = false
        var begun = false
        var failedAnswer: ServerReply.Whole? = null
        var lastReason = "no chain covers the model"
    }

    public fun run(task: RequestTask): RequestOutcome {
        val active = watchdog.watch(task.deadlineNanos, task.request.departed)
        val progress = Progress(task.request.lastEvent)
        try {
            budgets.countFirst(task.service.name)
            while (mayTry(task, progress)) {
                val choice = chooseWithRoom(task, progress) ?: break
                if (!mayRepeat(task, progress)) break
                attempt(task, choice, progress, active)?.let { return it }
                val cause = active.cause
                if (cause == CancelCause.DEADLINE || cause == CancelCause.DEPARTED) break
            }
            return finish(task, progress, active)
        } catch (e: IOException) {
            if (progress.begun && e !is CallerReply.CallerGone) task.reply.abort()
            throw e
        } finally {
            watchdog.done(active)
        }
    }

    /**
     * Chooses a chain and waits for room if all are full. Load pattern: a chain that is lost for
     * seconds fills the others, where a place becomes free every few tens of milliseconds.
     */
    private fun chooseWithRoom(task: RequestTask, progress: Progress): ChainChoice? {
        val waitUntil = minOf(now().steadyNanos + LONGEST_QUEUE_WAIT_NANOS, task.deadlineNanos)
        while (true) {
            val choice = selector.chain(task.service, progress.tried)
            if (choice == null || choice.used <= FULL || progress.begun) return choice
            progress.lastReason = "all chains are full"
            val over = choice.used > HOPELESS || now().steadyNanos >= waitUntil
            if (over || task.request.departed()) return null
            pause(QUEUE_TICK)
        }
    }

    /** Whether the attempt is the first or the budget has room for it. */
    private fun mayRepeat(task: RequestTask, progress: Progress): Boolean {
        val taken = progress.repeatTaken
        progress.repeatTaken = false
        return taken || progress.reached + progress.refused == 0 ||
            budgets.tryRetry(task.service.name)
    }

    private fun mayTry(task: RequestTask, progress: Progress) =
        progress.reached < task.route.maxServers &&
            progress.refused < task.route.maxServers &&
            progress.unreached <= UNREACHED_EXTRA &&
            left(task) > LEAST_TIME

    private fun attempt(
        task: RequestTask,
        choice: ChainChoice,
        progress: Progress,
        active: ActiveRequest
    ): RequestOutcome? {
        val chain = choice.chain
        progress.tried += chain.label
        val load = selector.load(chain.first)
        task.trace.attempt(chain.label, "${load.estimate}/${chain.capacity}")
        val call = ServerCall(
            task.request,
            chain.first,
            stream = true,
            remaining = left(task),
            chain = chain,
            organisation = task.owner?.name,
            lastEvent = progress.lastEvent,
            load = load
        )
        val exchange = client.open(call)
        load.started()
        try {
            val sentAt = now()
            val patience = firstWaits.limit.takeIf { mayRepair(task, progress.reached + 1) }
            // Many streams of a chain stall together, so each must be sure of its repeat first.
            active.arm(exchange, sentAt.steadyNanos, patience) {
                budgets.tryRetry(task.service.name).also { progress.repeatTaken = it }
            }
            val answer = exchange.await()
            if (answer is ServerReply.Events) firstWaits.add(now().since(sentAt))
            return settle(task, answer, chain, progress, active)
        } finally {
            active.disarm()
            load.ended()
            exchange.close()
        }
    }

    private fun settle(
        task: RequestTask,
        answer: ServerReply,
        chain: Chain,
        progress: Progress,
        active: ActiveRequest
    ): RequestOutcome? {
        when (answer) {
            is ServerReply.Whole -> {
                progress.reached++
                progress.mayHaveRun = true
                task.trace.result("status ${answer.status}")
                if (progress.begun || answer.failed && task.route.repeatable) {
                    if (!progress.begun) progress.failedAnswer = answer
                    progress.lastReason = "server answered ${answer.status}"
                    return null
                }
                task.reply.answer(answer)
                return RequestOutcome.answered("status ${answer.status}")
            }
            is ServerReply.NotRun -> notRun(task, answer, chain, progress)
            is ServerReply.Broken -> {
                progress.reached++
                progress.mayHaveRun = true
                if (!brokenOff(task, chain, progress, active, answer.reason)) {
                    return finish(task, progress, active)
                }
            }
            is ServerReply.Events -> {
                progress.reached++
                progress.mayHaveRun = true
                progress.failedAnswer = null
                return relay(task, answer, chain, progress, active)
            }
        }
        return null
    }

    private fun notRun(
        task: RequestTask,
        answer: ServerReply.NotRun,
        chain: Chain,
        progress: Progress
    ) {
        task.trace.result("not run: ${answer.reason} at=${answer.faultyAddress}")
        progress.lastReason = answer.reason
        if (answer.reached) progress.refused++ else progress.unreached++
        val faulty = answer.faultyAddress
        when {
            faulty != null -> selector.stageFailed(chain, faulty)
            !answer.reached || answer.misdirected -> selector.load(chain.first).failed()
            else -> selector.chainFailed(chain)
        }
    }

    private fun relay(
        task: RequestTask,
        events: ServerReply.Events,
        chain: Chain,
        progress: Progress,
        active: ActiveRequest
    ): RequestOutcome? {
        var count = 0
        try {
            if (!progress.begun) {
                task.reply.beginStream(events)
                progress.begun = true
            }
            while (true) {
                // The time in which the caller takes an event is not the server's silence.
                val askedAt = now()
                val patience = eventWaits.limit.takeIf { mayRepair(task, progress.reached) }
                active.progress(askedAt.steadyNanos, patience)
                val event = events.next() ?: break
                eventWaits.add(now().since(askedAt))
                active.progress(now().steadyNanos, null)
                if (!follows(event, progress)) continue
                task.reply.event(event)
                progress.lastEvent = event.number ?: progress.lastEvent
                count++
            }
        } catch (e: CallerReply.CallerGone) {
            task.trace.result("caller left after $count events")
            throw e
        } catch (e: IOException) {
            val goesOn = brokenOff(task, chain, progress, active, "$e after $count events")
            return if (goesOn) null else finish(task, progress, active)
        }
        selector.load(chain.first).succeeded()
        task.trace.result("complete, $count events")
        task.reply.endStream()
        return RequestOutcome.answered("stream")
    }

    /** False for an event that was passed on before; throws if events between were lost. */
    private fun follows(event: StreamEvent, progress: Progress): Boolean {
        val number = event.number ?: return true
        val last = progress.lastEvent ?: return true
        if (number <= last) return false
        if (number > last + 1) throw IOException("event $number follows $last")
        return true
    }

    /**
     * Whether another chain could take over. Otherwise the present one is waited for, as callers
     * wait far longer than it takes to notice an unusual silence.
     */
    private fun mayRepair(task: RequestTask, reached: Int) = task.route.resumable &&
        reached < task.route.maxServers && budgets.allowsRetry(task.service.name)

    /** Whether the stream may go on elsewhere. */
    private fun brokenOff(
        task: RequestTask,
        chain: Chain,
        progress: Progress,
        active: ActiveRequest,
        reason: String
    ): Boolean {
        val cause = active.cause
        task.trace.result("$reason ${cause ?: ""}")
        progress.lastReason = reason
        when (cause) {
            null -> selector.chainFailed(chain)
            CancelCause.STALLED -> stalls.stalled(chain)
            CancelCause.DEADLINE, CancelCause.DEPARTED -> Unit
        }
        return task.route.resumable && (cause == null || cause == CancelCause.STALLED)
    }

    private fun finish(
        task: RequestTask,
        progress: Progress,
        active: ActiveRequest
    ): RequestOutcome {
        val late = active.cause == CancelCause.DEADLINE || left(task) <= LEAST_TIME
        val answer = progress.failedAnswer
        val kind = when {
            !progress.mayHaveRun -> ErrorKind.OVERLOADED
            late -> ErrorKind.DEADLINE_EXCEEDED
            else -> ErrorKind.BACKEND_FAILED
        }
        if (progress.begun) {
            task.reply.abort()
            return RequestOutcome.failed(kind, "broken off: ${progress.lastReason}")
        }
        if (answer != null) {
            task.reply.answer(answer)
            return RequestOutcome.failed(null, "passed on status ${answer.status}")
        }
        return refuseTask(task.request, task.reply, kind, progress.lastReason, now())
    }

    private fun left(task: RequestTask): Duration =
        (task.deadlineNanos - now().steadyNanos).nanoseconds

    private companion object {
        /** Part of a chain's capacity above which new streams wait. */
        const val FULL = 1.0

        /** Part of a chain's capacity above which waiting would end in a refusal. */
        const val HOPELESS = 1.3

        /** Callers leave after 2 s without an event; the rest is for the first event. */
        const val LONGEST_QUEUE_WAIT_NANOS = 1_200_000_000L
        val QUEUE_TICK = 20.milliseconds
        const val UNREACHED_EXTRA = 2
        val LEAST_TIME = 100.milliseconds

        /** Leaves time for another chain within the usual objective of 500 ms. */
        val SHORTEST_FIRST_WAIT = 300.milliseconds

        /** Callers give a stream up after 2 s without an event; half of it is left for a repair. */
        val LONGEST_FIRST_WAIT = 1_000.milliseconds

        /** Leaves time for another chain within the usual bound of 200 ms between events. */
        val SHORTEST_EVENT_WAIT = 130.milliseconds
        val LONGEST_EVENT_WAIT = 600.milliseconds
    }
}
