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
 * Admits, queues and starts the work of one target under one lock. Each event (arrival, finish,
 * snapshot, grant, timer) takes a few calls of the planner, plus time logarithmic in the queue
 * length for each entry that it starts. No event scans the whole queue.
 */
internal class TargetScheduler(
    private val planner: ChainPlanner,
    private val clock: TimeSource.WithComparableMarks,
    private val serverLimits: ServerLimits,
    private val organisationLimiter: OrganisationLimiter?,
    private val scope: CoroutineScope,
    private val maxQueued: Int
) : ActiveDispatch.Events {
    private val queue = FairQueue()
    private val load = TargetLoad()

    /** Short entries started since the last long one. */
    private var consecutiveShortStarts = 0

    private enum class StartResult { STARTED, REFUSED, NO_CAPACITY, RATE_LIMITED }

    val running: Int get() = synchronized(this) { load.running }

    /** Queues [entry] and starts it if there is capacity. Returns the failure if it is refused. */
    @Synchronized
    fun submit(entry: QueuedWork): Result<Nothing, Failure>? {
        refusal(entry)?.let { return it }
        queue.add(entry)
        organisationLimiter?.addQueued(entry.work.organisation, entry.tokens)
        startQueued()
        return null
    }

    /** Removes [entry] from the queue; returns false if it is no longer queued. */
    @Synchronized
    fun remove(entry: QueuedWork): Boolean = removeQueued(entry)

    /** Starts queued work after servers or rate limits may have gained capacity. */
    @Synchronized
    fun onChange() {
        queue.throttledOrganisations().forEach(queue::unthrottle)
        startQueued()
    }

    /** Starts queued work of [organisation], whose rate limit may now allow more. */
    @Synchronized
    fun onGrant(organisation: OrganisationId) {
        queue.unthrottle(organisation)
        startQueued()
    }

    override fun onStepsMeasured(dispatch: ActiveDispatch, stepRatio: Double): Unit =
        dispatch.limiters.forEach { it.onSuccess(stepRatio) }

    override fun onEstimateExceeded(dispatch: ActiveDispatch, tokens: Int) {
        organisationLimiter?.charge(dispatch.entry.work.organisation, tokens)
    }

    @Synchronized
    override fun onDemoted(dispatch: ActiveDispatch) {
        dispatch.limiters.forEach { it.demote() }
        load.ended(WorkClass.SHORT)
        load.started(WorkClass.LONG)
        load.recordServiceTime(WorkClass.SHORT, dispatch.elapsed, dispatch.entry.tokens)
    }

    override fun onFinished(dispatch: ActiveDispatch, outcome: AttemptOutcome) {
        val entry = dispatch.entry
        val actual = dispatch.tokensUsed(outcome)
        val charged = maxOf(
            entry.tokens,
            entry.tokens - entry.estimate.tokens + dispatch.generatedTokens
        )
        dispatch.limiters.forEach { it.release(dispatch.workClass) }
        organisationLimiter?.charge(entry.work.organisation, actual - charged)
        when (outcome) {
            is AttemptOutcome.Completed -> {
                entry.lengthEstimator.record(entry.work.emittedTokens + dispatch.generatedTokens)
                dispatch.limiters.forEach { it.onSuccess(null) }
            }

            is AttemptOutcome.Failed -> if (outcome.overloaded) {
                serverLimits.of(outcome.instance).onOverloaded()
            }

            is AttemptOutcome.Cancelled -> Unit
        }
        synchronized(this) {
            load.ended(dispatch.workClass)
            if (outcome is AttemptOutcome.Completed) recordCompletion(dispatch)
            queue.adjustCharge(entry, actual)
            startQueued()
        }
    }

    private fun recordCompletion(dispatch: ActiveDispatch) {
        if (dispatch.workClass != dispatch.entry.workClass) return
        val planned = TargetLoad.plannedTime(dispatch.plan, dispatch.generatedTokens)
        load.recordServiceTime(dispatch.workClass, dispatch.elapsed, dispatch.entry.tokens)
        load.recordPlanRatio(dispatch.workClass, dispatch.elapsed, planned)
    }

    /** Tokens to charge to the organisation; an attempt refused for lack of capacity used none. */
    private fun ActiveDispatch.tokensUsed(outcome: AttemptOutcome): Int = when {
        outcome is AttemptOutcome.Failed && outcome.overloaded -> 0
        else -> entry.tokens - entry.estimate.tokens + generatedTokens
    }

    private fun refusal(entry: QueuedWork): Result<Nothing, Failure>? {
        val work = entry.work
        val organisationFull = queue.sizeOf(work.organisation) >= maxQueued / 2
        if (queue.size >= maxQueued || organisationFull) {
            return work.refusal(ErrorKind.OVERLOADED, "the queue of ${work.service} is full")
        }
        // Later attempts go ahead of the queue, so its length does not affect them.
        if (entry.isLaterAttempt) return null
        val slack = work.deadline - clock.markNow() - runTime(entry)
        val excess = waitTime(entry) - slack * MAX_WAIT_FRACTION
        if (excess > Duration.ZERO && load.running > 0) {
            val detail = "the expected wait for ${work.service} is too long by $excess"
            return work.refusal(ErrorKind.OVERLOADED, detail, excess)
        }
        return rateLimitRefusal(entry, slack)
    }

    private fun rateLimitRefusal(entry: QueuedWork, slack: Duration): Result<Nothing, Failure>? {
        val organisation = entry.work.organisation
        organisationLimiter?.recordOffered(organisation, entry.tokens)
        val wait = organisationLimiter?.queueDelay(organisation) ?: return null
        if (wait <= slack) return null
        val detail = "the rate limit of $organisation allows no more tokens for $wait"
        return entry.work.refusal(ErrorKind.RATE_LIMITED, detail, wait)
    }

    private fun waitTime(entry: QueuedWork): Duration =
        load.waitTime(entry.workClass, queue.tokensAhead(entry))

    private fun runTime(entry: QueuedWork): Duration {
        val query = entry.work.query(entry.side, entry.estimate.tokens)
        val plan = planner.choose(query) ?: return Duration.ZERO
        return load.runTime(entry.workClass, plan, entry.estimate.tokens)
    }

    private fun startQueued() {
        while (startOne()) Unit
    }

    private fun startOne(): Boolean {
        val laterAttempts = queue.peekLaterAttempts(PROBED_LATER_ATTEMPTS)
        if (laterAttempts.any { start(it) == StartResult.STARTED }) return true
        // Long work gets at least every fifth start, so that short work cannot starve it.
        val longFirst = consecutiveShortStarts >= MAX_CONSECUTIVE_SHORT_STARTS
        val order = if (longFirst) LONG_FIRST else SHORT_FIRST
        return order.any { startNext(it) }
    }

    private fun startNext(workClass: WorkClass): Boolean {
        while (true) {
            val entry = queue.peek(workClass) ?: return false
            when (start(entry)) {
                StartResult.STARTED -> {
                    consecutiveShortStarts =
                        if (workClass == WorkClass.LONG) 0 else consecutiveShortStarts + 1
                    return true
                }

                StartResult.REFUSED -> Unit

                StartResult.NO_CAPACITY -> return false

                StartResult.RATE_LIMITED -> throttle(entry.work.organisation)
            }
        }
    }

    private fun start(entry: QueuedWork): StartResult {
        val work = entry.work
        if (!consumeTokens(entry)) return StartResult.RATE_LIMITED
        val plan = choose(entry)
        val late = plan != null && !entry.isLaterAttempt && isLate(entry, plan)
        val reserve = entry.settings.shortReserve
        val limiters = plan?.takeUnless { late }
            ?.let { serverLimits.tryAcquire(it.hops, entry.workClass, reserve) }
        if (plan == null || limiters == null) {
            organisationLimiter?.charge(work.organisation, -entry.tokens)
            if (!late) return StartResult.NO_CAPACITY
            removeQueued(entry)
            val detail = "the time left before the deadline is too short to run ${work.service}"
            entry.result.complete(work.refusal(ErrorKind.DEADLINE_NOT_RUN, detail))
            return StartResult.REFUSED
        }
        removeQueued(entry)
        queue.charge(entry)
        load.started(entry.workClass)
        entry.result.complete(Ok(ActiveDispatch(entry, plan, limiters, clock, this)))
        return StartResult.STARTED
    }

    private fun consumeTokens(entry: QueuedWork): Boolean {
        val limiter = organisationLimiter ?: return true
        if (!entry.isLaterAttempt) return limiter.tryConsume(entry.work.organisation, entry.tokens)
        limiter.charge(entry.work.organisation, entry.tokens)
        return true
    }

    private fun choose(entry: QueuedWork): ChainPlan? {
        val reserve = entry.settings.shortReserve
        return planner.choose(
            entry.work.query(entry.side, entry.estimate.tokens).copy(
                hasCapacity = { serverLimits.of(it).hasCapacity(entry.workClass, reserve) },
                inFlight = { serverLimits.of(it).inFlight }
            )
        )
    }

    /** Whether [entry] cannot finish in time; it would take slots from work that can. */
    private fun isLate(entry: QueuedWork, plan: ChainPlan): Boolean = load.running > 0 &&
        entry.work.deadline - clock.markNow() <
        load.runTime(entry.workClass, plan, entry.estimate.tokens)

    private fun removeQueued(entry: QueuedWork): Boolean {
        if (!queue.remove(entry)) return false
        organisationLimiter?.addQueued(entry.work.organisation, -entry.tokens)
        return true
    }

    /** Skips the work of [organisation] until its token bucket has refilled. */
    private fun throttle(organisation: OrganisationId) {
        queue.throttle(organisation)
        val wait = organisationLimiter?.refillDelay(organisation) ?: return
        scope.launch {
            delay(wait.coerceAtLeast(MIN_THROTTLE_DELAY))
            onGrant(organisation)
        }
    }

    private companion object {
        /** Fraction of the slack that may be spent in the queue; the rest absorbs variation. */
        const val MAX_WAIT_FRACTION = 0.8

        /** Later attempts exclude different servers, so several are tried. */
        const val PROBED_LATER_ATTEMPTS = 4
        const val MAX_CONSECUTIVE_SHORT_STARTS = 4
        val MIN_THROTTLE_DELAY = 5.milliseconds
        val SHORT_FIRST = listOf(WorkClass.SHORT, WorkClass.LONG)
        val LONG_FIRST = listOf(WorkClass.LONG, WorkClass.SHORT)
    }
}

/** A query for this work that ignores concurrency limits. */
internal fun Work.query(side: Side, expectedTokens: Int): ChainQuery = ChainQuery(
    model = model,
    service = service,
    side = side,
    promptTokens = promptTokens + emittedTokens,
    expectedTokens = expectedTokens,
    prefixHash = prefixHash,
    excluded = excluded
)
