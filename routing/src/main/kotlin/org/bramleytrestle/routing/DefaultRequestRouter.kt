package org.bramleytrestle.routing

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onSuccess
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.TimeSource
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.withTimeoutOrNull
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.Failure
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.model.ServiceName
import org.bramleytrestle.model.Side
import org.bramleytrestle.settings.EffectiveSettings

/**
 * Router with fair queues, early refusal, adaptive concurrency limits and bounded retries.
 *
 * The settings determine the trade-off. For throughput and recovery, use a long `deadlineMillis`,
 * high `maxAttempts` and `retryBudget`, and a low `shortReserve`. For load peaks and short waiting
 * times, use a short `deadlineMillis`, which keeps the queue short, a high `shortReserve` and a low
 * `retryBudget`.
 *
 * @param limiter enforces the rate limits of organisations; null disables them.
 * @param scope runs the timers of work that waits for the rate limit of its organisation.
 * @param maxQueued maximum number of entries in the queue of one model or service on one side; one
 *   organisation may use half of it.
 */
@OptIn(ExperimentalCoroutinesApi::class)
public class DefaultRequestRouter(
    private val planner: ChainPlanner,
    private val clock: TimeSource.WithComparableMarks,
    random: Random,
    private val limiter: OrganisationLimiter? = null,
    private val scope: CoroutineScope = CoroutineScope(SupervisorJob() + Dispatchers.Default),
    private val maxQueued: Int = MAX_QUEUED
) : RequestRouter {
    private val serverLimits = ServerLimits(planner)
    private val targets = ConcurrentHashMap<Target, TargetScheduler>()
    private val services = ConcurrentHashMap<Pair<OrganisationId, ServiceName>, ServiceState>()
    private val retries = RetryPolicy(planner, clock, random)
    private val sequence = AtomicLong()

    private class ServiceState(clock: TimeSource.WithComparableMarks) {
        val lengthEstimator = LengthEstimator()
        val budget = RetryBudget(clock)
    }

    override suspend fun acquire(work: Work): Result<Dispatch, Failure> {
        val settings = planner.snapshot.settings.effective(work.organisation, work.service)
        val model = work.model?.value
        if (model != null && settings.models.isNotEmpty() && model !in settings.models) {
            val detail = "model $model: expected one of ${settings.models}"
            return work.refusal(ErrorKind.MODEL_NOT_ALLOWED, detail)
        }
        if (work.deadline.hasPassedNow()) {
            val detail = "the deadline had already passed on arrival"
            return work.refusal(ErrorKind.DEADLINE_NOT_RUN, detail)
        }
        val side = chooseSide(work, settings)
            ?: return work.refusal(ErrorKind.NO_ROUTE, "no server for ${model ?: work.service}")
        val service = service(work)
        if (work.attempt == 1) service.budget.recordFirstAttempt()
        val entry = QueuedWork(
            work,
            settings,
            side,
            service.lengthEstimator.estimate(work, settings),
            service.lengthEstimator,
            sequence.incrementAndGet(),
            clock.markNow()
        )
        val scheduler = scheduler(Target.of(work, side))
        return scheduler.submit(entry) ?: await(entry, scheduler)
    }

    /**
     * Decides by the newest settings and snapshot. [Work.emittedTokens] of [work] must include all
     * tokens emitted so far, because resuming a stream does not count against the retry budget.
     */
    override fun retry(work: Work, failed: FailedAttempt): RetryDecision {
        val running = targets[Target.of(work, failed.side)]?.running ?: 0
        return retries.decide(work, failed, service(work).budget, running)
    }

    override fun onSnapshot() {
        serverLimits.onSnapshot()
        targets.values.forEach { it.onChange() }
    }

    /** Reconsiders queued work after the limiter received a grant for [organisation]. */
    public fun onGrant(organisation: OrganisationId): Unit =
        targets.values.forEach { it.onGrant(organisation) }

    private suspend fun await(
        entry: QueuedWork,
        scheduler: TargetScheduler
    ): Result<Dispatch, Failure> {
        val remaining = entry.work.deadline - clock.markNow()
        val result = try {
            withTimeoutOrNull(remaining) { entry.result.await() }
        } catch (e: CancellationException) {
            if (!scheduler.remove(entry)) {
                entry.result.getCompleted().onSuccess { it.finish(AttemptOutcome.Cancelled) }
            }
            throw e
        }
        return when {
            result != null -> result

            scheduler.remove(entry) -> entry.work.refusal(
                ErrorKind.DEADLINE_NOT_RUN,
                "the deadline passed while the request for ${entry.work.service} was queued"
            )

            else -> entry.result.await()
        }
    }

    /**
     * The side to run on, or null if no chain exists. A first attempt may fall back to the other
     * side because nothing has run yet, unless a share of 0 or 1 assigns all work to one side.
     */
    private fun chooseSide(work: Work, settings: EffectiveSettings): Side? {
        val preferred = work.side ?: work.splitSide(settings)
        val fixed = work.side != null || settings.newShare <= 0.0 || settings.newShare >= 1.0
        val sides = if (fixed) listOf(preferred) else listOf(preferred, preferred.other())
        return sides.firstOrNull { planner.hasChain(work.query(it, work.maxTokens)) }
    }

    private fun service(work: Work) =
        services.computeIfAbsent(work.organisation to work.service) { ServiceState(clock) }

    private fun scheduler(target: Target) = targets.computeIfAbsent(target) {
        TargetScheduler(planner, clock, serverLimits, limiter, scope, maxQueued)
    }

    public companion object {
        /** Bounds the memory of queued requests; refusal by deadline usually acts much earlier. */
        public const val MAX_QUEUED: Int = 2_000
    }
}

/** The side of a first attempt according to the current share of the new side. */
internal fun Work.splitSide(settings: EffectiveSettings): Side =
    SideSplit.side(organisation, service, sideKey, settings.newShare)
