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
 * Router with fair queues, early refusal, adaptive concurrency and bounded retries.
 *
 * The policy follows from the settings. For throughput and recovery: long `deadlineMillis`, high
 * `maxAttempts` and `retryBudget`, low `shortReserve`. For demand peaks and short waits: short
 * `deadlineMillis`, which keeps the queue short, high `shortReserve`, low `retryBudget`.
 *
 * @param limiter limits of organisations; without one they are not limited.
 * @param scope runs the timers of work that waits for its organisation's limit.
 * @param maxQueued most entries in the queue of one model or service on one side; one
 *   organisation may fill half of it.
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
    private val limits = ServerLimits(planner)
    private val targets = ConcurrentHashMap<Target, TargetScheduler>()
    private val services = ConcurrentHashMap<Pair<OrganisationId, ServiceName>, ServiceState>()
    private val retries = RetryPolicy(planner, clock, random)
    private val sequence = AtomicLong()

    private class ServiceState(clock: TimeSource.WithComparableMarks) {
        val history = ServiceHistory()
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
            return work.refusal(ErrorKind.DEADLINE_NOT_RUN, "the deadline has passed on arrival")
        }
        val side = side(work, settings)
            ?: return work.refusal(ErrorKind.NO_ROUTE, "no server for ${model ?: work.service}")
        val service = service(work)
        if (work.attempt == 1) service.budget.countFirst()
        val entry = QueuedWork(
            work,
            settings,
            side,
            service.history.estimate(work, settings),
            service.history,
            sequence.incrementAndGet(),
            clock.markNow()
        )
        val scheduler = scheduler(Target.of(work, side))
        return scheduler.submit(entry) ?: await(entry, scheduler)
    }

    /**
     * Decides by the newest settings and snapshot. [work] must state all tokens emitted so far,
     * because the resumption of a stream is not held to the retry budget of new work.
     */
    override fun retry(work: Work, failed: FailedAttempt): RetryDecision {
        val running = targets[Target.of(work, failed.side)]?.running ?: 0
        return retries.decide(work, failed, service(work).budget, running)
    }

    override fun onSnapshot() {
        limits.onSnapshot()
        targets.values.forEach { it.onChange() }
    }

    /** Reconsiders queued work after the limiter received a grant for [organisation]. */
    public fun onGrant(organisation: OrganisationId): Unit =
        targets.values.forEach { it.onGrant(organisation) }

    private suspend fun await(
        entry: QueuedWork,
        scheduler: TargetScheduler
    ): Result<Dispatch, Failure> {
        val left = entry.work.deadline - clock.markNow()
        val result = try {
            withTimeoutOrNull(left) { entry.result.await() }
        } catch (e: CancellationException) {
            if (!scheduler.leave(entry)) {
                entry.result.getCompleted().onSuccess { it.finish(AttemptOutcome.Cancelled) }
            }
            throw e
        }
        return when {
            result != null -> result

            scheduler.leave(entry) -> entry.work.refusal(
                ErrorKind.DEADLINE_NOT_RUN,
                "the deadline of work for ${entry.work.service} passed in the queue"
            )

            else -> entry.result.await()
        }
    }

    /**
     * The side to run on, or null if no chain exists. A first attempt may use the other side
     * because nothing was run, unless a share of 0 or 1 keeps all work on one side.
     */
    private fun side(work: Work, settings: EffectiveSettings): Side? {
        val chosen = work.side ?: work.splitSide(settings)
        val fixed = work.side != null || settings.newShare <= 0.0 || settings.newShare >= 1.0
        val sides = if (fixed) listOf(chosen) else listOf(chosen, chosen.other())
        return sides.firstOrNull { planner.exists(work.query(it, work.maxTokens)) }
    }

    private fun service(work: Work) =
        services.computeIfAbsent(work.organisation to work.service) { ServiceState(clock) }

    private fun scheduler(target: Target) = targets.computeIfAbsent(target) {
        TargetScheduler(planner, clock, limits, limiter, scope, maxQueued)
    }

    public companion object {
        /** Bounds the memory of waiting requests; refusal by deadline usually acts long before. */
        public const val MAX_QUEUED: Int = 2_000
    }
}

/** Side of a first attempt by the share in force. */
internal fun Work.splitSide(settings: EffectiveSettings): Side =
    SideSplit.side(organisation, service, sideKey, settings.newShare)
