package org.bramleytrestle.serving

import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

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
    private val firstWaits = WaitEstimate(LONGEST_FIRST_WAIT, now)
    private val eventWaits = WaitEstimate(LONGEST_EVENT_WAIT, now)

    /**
     * What the caller got of the stream, the chains that were sent the request, those of them
     * on which it broke off, and the first servers of those that fell silent.
     */
    private class Progress(task: RequestTask, val attempts: Attempts) {
        /** Read by the watchdog as well. */
        val tried: MutableSet<String> = ConcurrentHashMap.newKeySet()
        val broken = mutableSetOf<String>()
        val silent = mutableSetOf<String>()
        var lastEvent = task.request.lastEvent
        var begun = false
    }

    public fun run(task: RequestTask): RequestOutcome {
        val active = watchdog.watch(task.deadlineNanos, task.request.disconnected)
        val progress = Progress(task, Attempts(task, active, budgets, LEAST_TIME, now))
        try {
            budgets.countFirst(task.service.name)
            progress.attempts.lastReason = "no chain covers the model"
            while (progress.attempts.mayTry()) {
                val choice = choose(task, progress) ?: break
                if (!progress.attempts.pay()) break
                attempt(task, choice, progress, active)?.let { return it }
            }
            return finish(task, progress)
        } catch (e: IOException) {
            if (progress.begun && e !is CallerReply.CallerDisconnectedException) task.reply.abort()
            throw e
        } finally {
            watchdog.done(active)
        }
    }

    /**
     * Chooses a chain. A new stream waits for room if all are full, a stream that broke off for a
     * chain behind the servers that it may use, a chain that refused it among them.
     *
     * Load pattern: a chain that is lost for seconds fills the others, where a place becomes free
     * every few tens of milliseconds.
     */
    private fun choose(task: RequestTask, progress: Progress): ChainChoice? {
        val since = now()
        val longest = if (progress.begun) LONGEST_REPAIR_WAIT else LONGEST_QUEUE_WAIT
        val waitUntil = minOf((since + longest).monotonicNanos, task.deadlineNanos)
        val attempts = progress.attempts
        while (true) {
            val again = progress.begun && now().since(since) >= REFUSED_AGAIN
            val avoided = if (again) progress.broken else progress.tried
            val choice = selector.chain(task.service, avoided) { first ->
                attempts.allows(first) && (again || first.id !in progress.silent)
            }
            val waits = when {
                choice == null -> progress.begun
                progress.begun || choice.used <= FULL -> return choice
                else -> choice.used <= HOPELESS
            }
            if (choice != null) attempts.lastReason = "all chains are full"
            if (!waits || now().monotonicNanos >= waitUntil ||
                task.request.disconnected()
            ) {
                return null
            }
            pause(QUEUE_TICK)
        }
    }

    private fun attempt(
        task: RequestTask,
        choice: ChainChoice,
        progress: Progress,
        active: ActiveRequest
    ): RequestOutcome? {
        val chain = choice.chain
        val attempts = progress.attempts
        progress.tried += chain.label
        val load = selector.load(chain.first)
        task.trace.attempt(chain.label, "${load.estimate}/${chain.capacity}")
        val call = ServerCall(
            task.request,
            chain.first,
            stream = true,
            remaining = attempts.left,
            chain = chain,
            organisation = task.owner?.name,
            urgency = task.urgency,
            lastEvent = progress.lastEvent,
            load = load
        )
        val exchange = client.open(call)
        load.started()
        try {
            val sentAt = now()
            val patience = firstWaits.limit(SHORTEST_FIRST_WAIT)
                .takeIf { task.route.resumable && !attempts.last }
            // Many streams of a chain stall together, so each must be sure of its repeat first.
            active.arm(exchange, sentAt.monotonicNanos, patience) {
                hasRoomElsewhere(task, chain, progress) && attempts.payAhead()
            }
            val answer = exchange.await()
            val silent = active.cause == CancelCause.STALLED
            if (answer is ServerReply.Stream || silent) firstWaits.add(now().since(sentAt))
            attempts.ended(chain.first, answer)
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
            is ServerReply.Complete -> {
                task.trace.result("status ${answer.status}")
                if (progress.begun || answer.failed && task.route.repeatable) return null
                task.reply.answer(answer)
                return RequestOutcome.answered("status ${answer.status}")
            }
            is ServerReply.NotRun -> notRun(task, answer, chain)
            is ServerReply.Failed -> {
                if (!brokenOff(task, chain, progress, active, answer.reason)) {
                    return finish(task, progress)
                }
            }
            is ServerReply.Stream -> return relay(task, answer, chain, progress, active)
        }
        return null
    }

    private fun notRun(task: RequestTask, answer: ServerReply.NotRun, chain: Chain) {
        task.trace.result("not run: ${answer.reason} at=${answer.faultyAddress}")
        val faulty = answer.faultyAddress
        when {
            faulty != null -> selector.stageFailed(chain, faulty)
            !answer.reached || answer.misdirected -> selector.load(chain.first).failed()
            else -> selector.chainFailed(chain)
        }
    }

    private fun relay(
        task: RequestTask,
        events: ServerReply.Stream,
        chain: Chain,
        progress: Progress,
        active: ActiveRequest
    ): RequestOutcome? {
        var count = 0
        var askedAt = now()
        var longest = Duration.ZERO
        try {
            if (!progress.begun) {
                task.reply.beginStream(events)
                progress.begun = true
            }
            while (true) {
                // The time in which the caller takes an event is not the server's silence.
                askedAt = now()
                val patience = eventWaits.limit(timeToRepair(task.route))
                    .takeIf { task.route.resumable && progress.attempts.mayReachMore }
                active.progress(askedAt.monotonicNanos, patience)
                val event = events.next() ?: break
                val wait = now().since(askedAt)
                eventWaits.add(wait)
                longest = maxOf(longest, wait)
                active.progress(now().monotonicNanos, null)
                if (!follows(event, progress)) continue
                task.reply.event(event)
                progress.lastEvent = event.number ?: progress.lastEvent
                count++
            }
        } catch (e: CallerReply.CallerDisconnectedException) {
            task.trace.result("caller left after $count events")
            throw e
        } catch (e: IOException) {
            // A wait that was cut short counts too, or load would never raise the limit.
            if (active.cause == CancelCause.STALLED) eventWaits.add(now().since(askedAt))
            val reason = "$e after $count events, longest pause $longest"
            val goesOn = brokenOff(task, chain, progress, active, reason)
            return if (goesOn) null else finish(task, progress)
        }
        selector.load(chain.first).succeeded()
        task.trace.result("complete, $count events, longest pause $longest")
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
     * Whether a chain behind another server has room. Load pattern: one chain left of several is
     * slow because all streams are on it, and moving them between its servers slows it further.
     */
    private fun hasRoomElsewhere(task: RequestTask, chain: Chain, progress: Progress): Boolean {
        val choice = selector.chain(task.service, progress.tried) { first ->
            first.id != chain.first.id && progress.attempts.allows(first)
        }
        return choice != null && choice.sound && choice.used <= FULL
    }

    /** Silence after which another chain's first event still comes within the usual pause. */
    private fun timeToRepair(route: Route): Duration {
        val first = firstWaits.mean ?: return LONGEST_EVENT_WAIT
        val left = route.maxEventGap - first * FIRST_WAIT_MARGIN - Watchdog.TICK
        return maxOf(SHORTEST_EVENT_WAIT, left)
    }

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
        progress.broken += chain.label
        progress.attempts.lastReason = reason
        when (cause) {
            null -> selector.chainFailed(chain)
            CancelCause.STALLED -> {
                progress.silent += chain.first.id
                stalls.stalled(chain)
            }
            CancelCause.DEADLINE, CancelCause.DEPARTED -> Unit
        }
        return task.route.resumable && (cause == null || cause == CancelCause.STALLED)
    }

    private fun finish(task: RequestTask, progress: Progress): RequestOutcome {
        val attempts = progress.attempts
        if (!progress.begun) return attempts.giveUp()
        task.reply.abort()
        return RequestOutcome.failed(
            attempts.failureKind,
            "broken off: ${attempts.lastReason}"
        )
    }

    private companion object {
        /** Part of a chain's capacity above which new streams wait. */
        const val FULL = 1.0

        /** Part of a chain's capacity above which waiting would end in a refusal. */
        const val HOPELESS = 1.3

        /** Callers leave after 2 s without an event; the rest is for the first event. */
        val LONGEST_QUEUE_WAIT = 1_200.milliseconds

        /** Leaves a caller that waits 2 s for an event the time for its own repeat. */
        val LONGEST_REPAIR_WAIT = 500.milliseconds

        /** About the time in which some place of a full chain becomes free. */
        val REFUSED_AGAIN = 100.milliseconds
        val QUEUE_TICK = 20.milliseconds
        val LEAST_TIME = 100.milliseconds

        /** Leaves time for another chain within the usual objective of 500 ms. */
        val SHORTEST_FIRST_WAIT = 300.milliseconds

        /** Callers give a stream up after 2 s without an event; half of it is left for a repair. */
        val LONGEST_FIRST_WAIT = 1_000.milliseconds

        /** A stream that goes on elsewhere has its answer so far read again beside its prompt. */
        const val FIRST_WAIT_MARGIN = 1.25

        /** About the time of the longest usual pass, which reads a long prompt. */
        val SHORTEST_EVENT_WAIT = 115.milliseconds
        val LONGEST_EVENT_WAIT = 600.milliseconds
    }
}
