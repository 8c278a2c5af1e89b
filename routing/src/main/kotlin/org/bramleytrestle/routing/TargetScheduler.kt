package org.bramleytrestle.routing

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.Failure
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.model.Side

/**
 * Admits, queues and starts the work of one target under one lock. An event (arrival, finish,
 * snapshot, grant, timer) costs a few calls of the planner, plus logarithmic time in the queue
 * for each entry that it starts; it never looks at the whole queue.
 */
internal class TargetScheduler(
    private val planner: ChainPlanner,
    private val clock: TimeSource.WithComparableMarks,
    private val limits: ServerLimits,
    private val organisations: OrganisationLimiter?,
    private val scope: CoroutineScope,
    private val maxQueued: Int
) : ActiveDispatch.Events {
    private val queue = FairQueue()
    private val load = TargetLoad()
    private var shortStarts = 0

    private enum class Start { STARTED, DROPPED, NO_ROOM, LIMITED }

    val running: Int get() = synchronized(this) { load.running }

    /** Queues [entry] and starts it if there is room, or returns why it is refused. */
    @Synchronized
    fun submit(entry: QueuedWork): Result<Nothing, Failure>? {
        refusal(entry)?.let { return it }
        queue.add(entry)
        organisations?.queued(entry.work.organisation, entry.tokens)
        pump()
        return null
    }

    /** Takes [entry] out of the queue; false if it has left already. */
    @Synchronized
    fun leave(entry: QueuedWork): Boolean = removeQueued(entry)

    /** Starts queued work after servers or limits may have got room. */
    @Synchronized
    fun onChange() {
        queue.parked().forEach(queue::unpark)
        pump()
    }

    /** Starts work of [organisation] after its limit may have got room. */
    @Synchronized
    fun onGrant(organisation: OrganisationId) {
        queue.unpark(organisation)
        pump()
    }

    override fun stepped(dispatch: ActiveDispatch, stepRatio: Double): Unit =
        dispatch.slots.forEach { it.succeeded(stepRatio) }

    override fun outran(dispatch: ActiveDispatch, tokens: Int) {
        organisations?.charge(dispatch.entry.work.organisation, tokens)
    }

    @Synchronized
    override fun demoted(dispatch: ActiveDispatch) {
        dispatch.slots.forEach { it.demote() }
        load.ended(WorkClass.SHORT)
        load.started(WorkClass.LONG)
        load.learnHold(WorkClass.SHORT, dispatch.held, dispatch.entry.tokens)
    }

    override fun finished(dispatch: ActiveDispatch, outcome: AttemptOutcome) {
        val entry = dispatch.entry
        val actual = dispatch.tokensUsed(outcome)
        val charged = maxOf(entry.tokens, entry.tokens - entry.estimate.tokens + dispatch.generated)
        dispatch.slots.forEach { it.release(dispatch.workClass) }
        organisations?.charge(entry.work.organisation, actual - charged)
        when (outcome) {
            is AttemptOutcome.Completed -> {
                entry.history.learn(entry.work.emittedTokens + dispatch.generated)
                dispatch.slots.forEach { it.succeeded(null) }
            }

            is AttemptOutcome.Failed -> if (outcome.overloaded) {
                limits.of(
                    outcome.instance
                ).refused()
            }

            is AttemptOutcome.Cancelled -> Unit
        }
        synchronized(this) {
            load.ended(dispatch.workClass)
            if (outcome is AttemptOutcome.Completed) learn(dispatch)
            queue.correct(entry, actual)
            pump()
        }
    }

    private fun learn(dispatch: ActiveDispatch) {
        if (dispatch.workClass != dispatch.entry.workClass) return
        val planned = TargetLoad.cost(dispatch.plan, dispatch.generated)
        load.learnHold(dispatch.workClass, dispatch.held, dispatch.entry.tokens)
        load.learnPlan(dispatch.workClass, dispatch.held, planned)
    }

    /** Tokens that count against the shares; a refusal for lack of room ran none. */
    private fun ActiveDispatch.tokensUsed(outcome: AttemptOutcome): Int = when {
        outcome is AttemptOutcome.Failed && outcome.overloaded -> 0
        else -> entry.tokens - entry.estimate.tokens + generated
    }

    private fun refusal(entry: QueuedWork): Result<Nothing, Failure>? {
        val work = entry.work
        val organisationFull = queue.sizeOf(work.organisation) >= maxQueued / 2
        if (queue.size >= maxQueued || organisationFull) {
            return work.refusal(ErrorKind.OVERLOADED, "the queue of ${work.service} is full")
        }
        // Later attempts go ahead of the queue, so its length says nothing about them.
        if (entry.ahead) return null
        val left = work.deadline - clock.markNow() - runTime(entry)
        val missing = waitTime(entry) - left * WAIT_MARGIN
        if (missing > Duration.ZERO && load.running > 0) {
            val detail = "the deadline of work for ${work.service} is $missing too early"
            return work.refusal(ErrorKind.OVERLOADED, detail, missing)
        }
        return limitRefusal(entry, left)
    }

    private fun limitRefusal(entry: QueuedWork, left: Duration): Result<Nothing, Failure>? {
        val organisation = entry.work.organisation
        organisations?.offered(organisation, entry.tokens)
        val wait = organisations?.delay(organisation) ?: return null
        if (wait <= left) return null
        val detail = "the limit of $organisation has room in $wait"
        return entry.work.refusal(ErrorKind.RATE_LIMITED, detail, wait)
    }

    private fun waitTime(entry: QueuedWork): Duration =
        load.wait(entry.workClass, queue.tokensAhead(entry))

    private fun runTime(entry: QueuedWork): Duration {
        val query = entry.work.query(entry.side, entry.estimate.tokens)
        val plan = planner.choose(query) ?: return Duration.ZERO
        return load.run(entry.workClass, plan, entry.estimate.tokens)
    }

    private fun pump() {
        while (startOne()) Unit
    }

    private fun startOne(): Boolean {
        val later = queue.laterAttempts(PROBED_LATER_ATTEMPTS)
        if (later.any { start(it) == Start.STARTED }) return true
        // Long work gets every fifth start at least, so that short work cannot starve it.
        val longFirst = shortStarts >= SHORT_RUN
        val order = if (longFirst) LONG_FIRST else SHORT_FIRST
        return order.any { startNext(it) }
    }

    private fun startNext(workClass: WorkClass): Boolean {
        while (true) {
            val entry = queue.next(workClass) ?: return false
            when (start(entry)) {
                Start.STARTED -> {
                    shortStarts = if (workClass == WorkClass.LONG) 0 else shortStarts + 1
                    return true
                }

                Start.DROPPED -> Unit

                Start.NO_ROOM -> return false

                Start.LIMITED -> park(entry.work.organisation)
            }
        }
    }

    private fun start(entry: QueuedWork): Start {
        val work = entry.work
        if (!takeTokens(entry)) return Start.LIMITED
        val plan = choose(entry)
        val late = plan != null && !entry.ahead && isLate(entry, plan)
        val reserve = entry.settings.shortReserve
        val slots = plan?.takeUnless { late }
            ?.let { limits.tryAcquire(it.hops, entry.workClass, reserve) }
        if (plan == null || slots == null) {
            organisations?.charge(work.organisation, -entry.tokens)
            if (!late) return Start.NO_ROOM
            removeQueued(entry)
            val detail = "the rest of the deadline is too short to run ${work.service}"
            entry.result.complete(work.refusal(ErrorKind.DEADLINE_NOT_RUN, detail))
            return Start.DROPPED
        }
        removeQueued(entry)
        queue.charge(entry)
        load.started(entry.workClass)
        entry.result.complete(Ok(ActiveDispatch(entry, plan, slots, clock, this)))
        return Start.STARTED
    }

    private fun takeTokens(entry: QueuedWork): Boolean {
        val limiter = organisations ?: return true
        if (!entry.ahead) return limiter.tryTake(entry.work.organisation, entry.tokens)
        limiter.charge(entry.work.organisation, entry.tokens)
        return true
    }

    private fun choose(entry: QueuedWork): ChainPlan? {
        val reserve = entry.settings.shortReserve
        return planner.choose(
            entry.work.query(entry.side, entry.estimate.tokens).copy(
                hasRoom = { limits.of(it).hasRoom(entry.workClass, reserve) },
                inFlight = { limits.of(it).inFlight }
            )
        )
    }

    /** Running what cannot finish in time would take slots from work that can. */
    private fun isLate(entry: QueuedWork, plan: ChainPlan): Boolean = load.running > 0 &&
        entry.work.deadline - clock.markNow() <
        load.run(entry.workClass, plan, entry.estimate.tokens)

    private fun removeQueued(entry: QueuedWork): Boolean {
        if (!queue.remove(entry)) return false
        organisations?.queued(entry.work.organisation, -entry.tokens)
        return true
    }

    private fun park(organisation: OrganisationId) {
        queue.park(organisation)
        val wait = organisations?.nextTake(organisation) ?: return
        scope.launch {
            delay(wait.coerceAtLeast(MIN_PARKING))
            onGrant(organisation)
        }
    }

    private companion object {
        /** Part of the time left that may be spent in the queue; the rest absorbs variation. */
        const val WAIT_MARGIN = 0.8

        /** Later attempts differ in the servers they exclude, so a few are tried. */
        const val PROBED_LATER_ATTEMPTS = 4
        const val SHORT_RUN = 4
        val MIN_PARKING = 5.milliseconds
        val SHORT_FIRST = listOf(WorkClass.SHORT, WorkClass.LONG)
        val LONG_FIRST = listOf(WorkClass.LONG, WorkClass.SHORT)
    }
}

/** Asks for servers for this work without regard to limits. */
internal fun Work.query(side: Side, expectedTokens: Int): ChainQuery = ChainQuery(
    model = model,
    service = service,
    side = side,
    promptTokens = promptTokens + emittedTokens,
    expectedTokens = expectedTokens,
    prefixHash = prefixHash,
    excluded = excluded
)
