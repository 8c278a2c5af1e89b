package org.bramleytrestle.serving

import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.bramleytrestle.serving.admission.Place

/**
 * Executes streaming requests on chains of model servers. If the route is resumable, a stream that
 * is interrupted resumes on another chain after its last complete event, within the same response to
 * the caller. One that stalls stays open until it has begun on another chain.
 */
public class StreamExecutor(
    private val selector: ServerSelector,
    private val client: ServerClient,
    private val budgets: RetryBudgets,
    private val watchdog: Watchdog,
    private val stalls: StallInspector,
    private val quarantine: RequestQuarantine,
    private val now: () -> Moment = Moment::now,
    onAdmission: (service: String, Place, Duration) -> Unit = { _, _, _ -> },
    await: (Place, Duration) -> Unit = Place::await,
    private val startHedge: (task: () -> Unit) -> Boolean = HedgeThreads()::start
) {
    private val admission = ChainAdmission(selector, now, onAdmission, await)
    private val firstEventTimeout = AdaptiveTimeout(MAX_FIRST_EVENT_TIMEOUT, now)
    private val nextEventTimeout = AdaptiveTimeout(MAX_EVENT_TIMEOUT, now)

    private enum class Acceptance {
        NEXT,

        /** The caller has the event already. */
        REPEATED,

        /** The stream goes on with a hedge that had begun before the event came. */
        SUPERSEDED
    }

    /** State of one stream across its attempts. */
    private class Progress(task: RequestTask, val attempts: AttemptTracker) {
        /** Labels of chains that got the request. Concurrent because the watchdog reads it. */
        val tried: MutableSet<String> = ConcurrentHashMap.newKeySet()

        /** Labels of chains on which the stream was interrupted. */
        val interrupted = mutableSetOf<String>()

        /** Ids of the first servers of chains on which the stream stalled. */
        val stalled = mutableSetOf<String>()

        /** Number of the last event that the caller received; guarded by this. */
        var lastEvent = task.request.lastEvent

        /** Whether the caller received the head of the response. */
        @Volatile
        var begun = false

        /** The last attempt beside a stalled one; guarded by this. */
        var hedge: Hedge? = null

        /** Whether the request has ended, so that no hedge may start; guarded by this. */
        var ended = false

        /** The hedge that has begun or may still begin, if any; it is no longer kept here. */
        @Synchronized
        fun takeHedge(): Hedge? = hedge?.takeUnless { it.isEnded }.also { hedge = null }

        /** Gives the hedge up and lets no other one start. */
        @Synchronized
        fun end() {
            ended = true
            takeHedge()?.abandon()
        }

        /**
         * Decides on [event], or on the end of the stream, and gives the hedge up unless its stream
         * has begun and goes on from here. Throws if events were skipped.
         */
        @Synchronized
        fun accept(event: StreamEvent?): Acceptance {
            if (hedge?.drop() == false) return Acceptance.SUPERSEDED
            hedge = null
            val number = event?.number ?: return Acceptance.NEXT
            val last = lastEvent
            if (last != null && number <= last) return Acceptance.REPEATED
            if (last != null && number > last + 1) {
                throw IOException("events missing: got $number after $last")
            }
            lastEvent = number
            return Acceptance.NEXT
        }
    }

    /** Number of streams that wait for room. */
    public val waiting: Int get() = admission.waiting

    public fun run(task: RequestTask): RequestOutcome {
        val active = watchdog.watch(task.deadlineNanos, task.request.disconnected)
        val progress = Progress(
            task,
            AttemptTracker(task, active, budgets, quarantine, MIN_REMAINING, now)
        )
        try {
            budgets.countFirst(task.service.name)
            progress.attempts.lastReason = "no chain covers the model"
            while (true) {
                val hedge = progress.takeHedge()
                if (hedge != null && awaitHedge(hedge, active)) {
                    adopt(task, hedge, progress, active)?.let { return it }
                    continue
                }
                if (!progress.attempts.canAttempt(progress.begun)) break
                val choice = chooseChain(task, progress, active) ?: break
                if (!progress.attempts.acquire(retryReserve(progress))) {
                    selector.load(choice.chain.first).ended()
                    break
                }
                attempt(task, choice, progress, active)?.let { return it }
            }
            return finish(task, progress)
        } catch (e: IOException) {
            if (progress.begun && e !is CallerReply.CallerDisconnectedException) task.reply.abort()
            throw e
        } finally {
            progress.end()
            watchdog.unwatch(active)
        }
    }

    private fun awaitHedge(hedge: Hedge, active: ActiveRequest): Boolean {
        active.arm({ hedge.drop() }, now().monotonicNanos, null)
        return try {
            hedge.await()
        } finally {
            active.disarm()
        }
    }

    /** Goes on with a stream that has begun while an earlier one was stalled. */
    private fun adopt(
        task: RequestTask,
        hedge: Hedge,
        progress: Progress,
        active: ActiveRequest
    ): RequestOutcome? {
        val stream = checkNotNull(hedge.stream)
        try {
            active.arm(hedge.exchange, now().monotonicNanos, null) {
                hedge(task, hedge.chain, hedge.exchange, progress, active)
                false
            }
            return relay(task, stream, hedge.chain, progress, active)
        } finally {
            active.disarm()
            hedge.close()
        }
    }

    /**
     * Starts a second attempt at the stream that is stalled on [chain], if another chain has room.
     * Called by the watchdog while the stream is stalled.
     */
    private fun hedge(
        task: RequestTask,
        chain: Chain,
        stalled: ServerExchange,
        progress: Progress,
        active: ActiveRequest
    ): Unit = synchronized(progress) {
        if (progress.ended || progress.hedge?.isEnded == false) return
        val other = chainElsewhere(task, chain, progress) ?: return
        if (!progress.attempts.acquireHedge(retryReserve(progress))) return
        if (!selector.takeFirst(other)) return
        stalls.onStall(chain)
        progress.tried += other.label
        val load = selector.load(other.first)
        val exchange = client.open(serverCall(task, other, progress))
        val hedge = Hedge(other, exchange, load)
        load.started()
        progress.hedge = hedge
        val started = startHedge {
            hedge.run(
                onReply = { reply, dropped -> settleHedge(task, hedge, reply, dropped, progress) },
                onBegun = { active.cancelStalled(stalled) }
            )
        }
        if (!started) {
            progress.hedge = null
            progress.tried -= other.label
            hedge.close()
        }
    }

    private fun settleHedge(
        task: RequestTask,
        hedge: Hedge,
        reply: ServerReply,
        dropped: Boolean,
        progress: Progress
    ) {
        if (dropped && reply is ServerReply.NotRun && !reply.reached) {
            task.trace.hedge(hedge.chain.label, "dropped before it was sent")
            return
        }
        progress.attempts.record(hedge.chain.first, reply)
        when (reply) {
            is ServerReply.Stream -> task.trace.hedge(hedge.chain.label, "begun")
            is ServerReply.Complete ->
                task.trace.hedge(hedge.chain.label, "status ${reply.status}")
            is ServerReply.NotRun -> {
                task.trace.hedge(hedge.chain.label, "not run: ${reply.reason}")
                avoidAfterRefusal(reply, hedge.chain)
            }
            is ServerReply.Failed -> {
                task.trace.hedge(hedge.chain.label, if (dropped) "dropped" else reply.reason)
                if (dropped) return
                selector.chainFailed(hedge.chain)
                quarantine.onBroken(task.request.content, hedge.chain.first, hedge.hasHead)
            }
        }
    }

    /** A caller whose answer has begun loses what it has; others can be told to return. */
    private fun retryReserve(progress: Progress) = if (progress.begun) 0.0 else BEGUN_RESERVE

    private fun chooseChain(
        task: RequestTask,
        progress: Progress,
        active: ActiveRequest
    ): ChainChoice? = admission.choose(
        task,
        progress.attempts,
        active,
        ChainAdmission.ChainConstraints(
            resumed = progress.begun,
            tried = progress.tried,
            interrupted = progress.interrupted,
            firstEventTime = firstEventTimeout.mean ?: Duration.ZERO
        ) { first, retryRefused ->
            progress.attempts.allows(first) && (retryRefused || first.id !in progress.stalled)
        }
    )

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
        val exchange = try {
            client.open(serverCall(task, chain, progress))
        } catch (e: Exception) {
            load.ended()
            throw e
        }
        try {
            val sentAt = now()
            val stallTimeout = firstEventTimeout.timeout(MIN_FIRST_EVENT_TIMEOUT)
                .takeIf { task.route.resumable && !attempts.onLastServer }
            active.arm(exchange, sentAt.monotonicNanos, stallTimeout) {
                hedge(task, chain, exchange, progress, active)
                false
            }
            val answer = exchange.await()
            val stalled = active.cancelCause == CancelCause.STALLED
            if (answer is ServerReply.Stream || stalled) {
                firstEventTimeout.record(now().since(sentAt))
            }
            attempts.record(chain.first, answer)
            return settle(task, answer, chain, progress, active)
        } finally {
            active.disarm()
            load.ended()
            exchange.close()
        }
    }

    private fun serverCall(task: RequestTask, chain: Chain, progress: Progress) = ServerCall(
        task.request,
        chain.first,
        stream = true,
        remaining = progress.attempts.remaining,
        chain = chain,
        organisation = task.organisation?.name,
        urgency = task.urgency,
        lastEvent = progress.lastEvent,
        load = selector.load(chain.first),
        resent = progress.attempts.hasReached(chain.first)
    )

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
                if (progress.begun || answer.isServerError && task.route.idempotent) return null
                task.reply.answer(answer)
                return RequestOutcome.answered("status ${answer.status}")
            }
            is ServerReply.NotRun -> recordNotRun(task, answer, chain)
            is ServerReply.Failed -> {
                if (active.cancelCause == null) {
                    quarantine.onBroken(task.request.content, chain.first, begun = false)
                }
                if (!recordInterruption(task, chain, progress, active, answer.reason)) {
                    return finish(task, progress)
                }
            }
            is ServerReply.Stream -> return relay(task, answer, chain, progress, active)
        }
        return null
    }

    private fun recordNotRun(task: RequestTask, answer: ServerReply.NotRun, chain: Chain) {
        task.trace.result("not run: ${answer.reason} at=${answer.faultyAddress}")
        avoidAfterRefusal(answer, chain)
    }

    private fun avoidAfterRefusal(answer: ServerReply.NotRun, chain: Chain) {
        val faulty = answer.faultyAddress
        when {
            faulty != null -> selector.stageFailed(chain, faulty)
            !answer.reached -> selector.serverFailed(chain.first)
            answer.misdirected -> selector.load(chain.first).failed()
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
        val beganAt = now()
        var waitStart = beganAt
        var longest = Duration.ZERO
        try {
            if (!progress.begun) {
                task.reply.beginStream(events)
                progress.begun = true
            }
            while (true) {
                // The time that the caller takes to read an event does not count as a stall.
                waitStart = now()
                val stallTimeout = nextEventTimeout.timeout(minEventTimeout(task.route))
                    .takeIf { task.route.resumable && progress.attempts.canUseNewServer }
                active.progress(waitStart.monotonicNanos, stallTimeout)
                val event = events.next()
                val wait = now().since(waitStart)
                nextEventTimeout.record(wait)
                longest = maxOf(longest, wait)
                active.progress(now().monotonicNanos, null)
                val acceptance = progress.accept(event)
                if (acceptance == Acceptance.SUPERSEDED) {
                    task.trace.result("stalled after $count events, longest pause $longest")
                    progress.stalled += chain.first.id
                    return null
                }
                if (event == null) break
                if (acceptance == Acceptance.REPEATED) continue
                task.reply.event(event)
                quarantine.onEvent(task.request.content, ++count, now().since(beganAt))
            }
        } catch (e: CallerReply.CallerDisconnectedException) {
            task.trace.result("caller disconnected after $count events")
            throw e
        } catch (e: IOException) {
            // A cancelled wait is recorded too; otherwise load would never raise the timeout.
            if (active.cancelCause == CancelCause.STALLED) {
                nextEventTimeout.record(now().since(waitStart))
            }
            if (active.cancelCause == null) {
                val ran = now().since(beganAt)
                quarantine.onBroken(task.request.content, chain.first, begun = true, count, ran)
            }
            val reason = "$e after $count events, longest pause $longest"
            val resumes = recordInterruption(task, chain, progress, active, reason)
            return if (resumes) null else finish(task, progress)
        }
        selector.load(chain.first).succeeded()
        quarantine.onAnswered(task.request.content)
        task.trace.result("complete, $count events, longest pause $longest")
        task.reply.endStream()
        return RequestOutcome.answered("stream")
    }

    /**
     * A chain with another first server that has capacity. If only one of several chains is left,
     * it is slow because it carries all streams, and moving them between its servers slows it
     * further.
     */
    private fun chainElsewhere(task: RequestTask, chain: Chain, progress: Progress): Chain? =
        selector.chain(task.service, progress.tried) { first ->
            first.id != chain.first.id && progress.attempts.allows(first)
        }?.takeIf { it.healthy && it.utilisation <= ChainAdmission.FULL }?.chain

    /** Stall timeout that lets another chain send its first event within [Route.maxEventGap]. */
    private fun minEventTimeout(route: Route): Duration {
        val first = firstEventTimeout.mean ?: return MAX_EVENT_TIMEOUT
        val remaining = route.maxEventGap - first * FIRST_EVENT_MARGIN - Watchdog.TICK
        return maxOf(MIN_EVENT_TIMEOUT, remaining)
    }

    /** Records an interruption on [chain]; returns whether the stream may resume elsewhere. */
    private fun recordInterruption(
        task: RequestTask,
        chain: Chain,
        progress: Progress,
        active: ActiveRequest,
        reason: String
    ): Boolean {
        val cause = active.cancelCause
        task.trace.result("$reason ${cause ?: ""}")
        progress.interrupted += chain.label
        progress.attempts.lastReason = reason
        when (cause) {
            null -> selector.chainFailed(chain)
            CancelCause.STALLED -> progress.stalled += chain.first.id
            CancelCause.DEADLINE, CancelCause.DEPARTED -> Unit
        }
        return task.route.resumable && (cause == null || cause == CancelCause.STALLED)
    }

    private fun finish(task: RequestTask, progress: Progress): RequestOutcome {
        val attempts = progress.attempts
        if (!progress.begun) return attempts.fail()
        task.reply.abort()
        return RequestOutcome.failed(
            attempts.failureKind,
            "stream interrupted: ${attempts.lastReason}"
        )
    }

    private companion object {
        val MIN_REMAINING = 100.milliseconds

        /** Part of the retry budget that only answers which have begun may use. */
        const val BEGUN_RESERVE = 0.5

        /** Leaves time for another chain within the usual latency target of 500 ms. */
        val MIN_FIRST_EVENT_TIMEOUT = 300.milliseconds

        /** Callers give up after 2 s without an event; half of it is left for a retry. */
        val MAX_FIRST_EVENT_TIMEOUT = 1_000.milliseconds

        /** Factor for a resumed stream, which reads its answer so far in addition to the prompt. */
        const val FIRST_EVENT_MARGIN = 1.25

        /** About the duration of the longest usual pass, which reads a long prompt. */
        val MIN_EVENT_TIMEOUT = 115.milliseconds
        val MAX_EVENT_TIMEOUT = 600.milliseconds
    }
}
