package org.bramleytrestle.routing

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.TimeSource
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.withTimeoutOrNull
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.Failure
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.RepeatPolicy
import org.bramleytrestle.model.Side
import org.bramleytrestle.model.StageHop
import org.bramleytrestle.settings.EffectiveSettings

/**
 * Baseline for measurements: one FIFO queue, no classes of work, no limits other than the reported
 * slots, no early refusal, and retries without delay. Intended for use with [RoundRobinPlanner].
 */
@OptIn(ExperimentalCoroutinesApi::class)
public class FifoRequestRouter(
    private val planner: ChainPlanner,
    private val clock: TimeSource.WithComparableMarks
) : RequestRouter {
    private val inFlight = ConcurrentHashMap<InstanceId, AtomicInteger>()
    private val queue = LinkedHashSet<Entry>()

    private class Entry(val work: Work, val side: Side) {
        val result = CompletableDeferred<Dispatch>()
    }

    override suspend fun acquire(work: Work): Result<Dispatch, Failure> {
        val settings = planner.snapshot.settings.effective(work.organisation, work.service)
        val entry = Entry(work, work.side ?: work.splitSide(settings))
        if (!planner.hasChain(query(entry))) {
            return work.refusal(ErrorKind.NO_ROUTE, "no server for ${work.service}")
        }
        synchronized(queue) { queue.add(entry) }
        onSnapshot()
        val dispatch = try {
            withTimeoutOrNull(work.deadline - clock.markNow()) { entry.result.await() }
        } catch (e: CancellationException) {
            if (!removeQueued(entry)) entry.result.getCompleted().finish(AttemptOutcome.Cancelled)
            throw e
        }
        if (dispatch != null || !removeQueued(entry)) return Ok(dispatch ?: entry.result.await())
        val detail = "the deadline passed while the request was queued"
        return work.refusal(ErrorKind.DEADLINE_NOT_RUN, detail)
    }

    override fun retry(work: Work, failed: FailedAttempt): RetryDecision {
        val safe = failed.notRun || work.model != null || failed.policy != RepeatPolicy.NEVER
        val settings = planner.snapshot.settings.effective(work.organisation, work.service)
        val updated = work.copy(mayHaveRun = work.mayHaveRun || !failed.notRun)
        return when {
            !safe -> RetryDecision.GiveUp(ErrorKind.OUTCOME_UNKNOWN)

            work.deadline.hasPassedNow() ->
                RetryDecision.GiveUp(updated.adjustedKind(ErrorKind.DEADLINE_NOT_RUN))

            work.attempt >= settings.maxAttempts ->
                RetryDecision.GiveUp(updated.adjustedKind(ErrorKind.OVERLOADED))

            else -> RetryDecision.Retry(
                updated.copy(attempt = work.attempt + 1, side = failed.side),
                kotlin.time.Duration.ZERO
            )
        }
    }

    /** Starts queued work in order of arrival; stops at the first entry without capacity. */
    override fun onSnapshot(): Unit = synchronized(queue) {
        while (true) {
            val entry = queue.firstOrNull() ?: return
            val plan = planner.choose(query(entry)) ?: return
            queue.remove(entry)
            plan.hops.forEach { count(it.instance).incrementAndGet() }
            entry.result.complete(FifoDispatch(plan.hops, entry.side))
        }
    }

    private fun removeQueued(entry: Entry) = synchronized(queue) { queue.remove(entry) }

    private fun count(instance: InstanceId) = inFlight.computeIfAbsent(instance) { AtomicInteger() }

    private fun query(entry: Entry) = entry.work.query(entry.side, entry.work.maxTokens).copy(
        excluded = emptySet(),
        hasCapacity = { count(it).get() < (planner.snapshot.reports[it]?.slots ?: 1) },
        inFlight = { count(it).get() }
    )

    private inner class FifoDispatch(override val hops: List<StageHop>, override val side: Side) :
        Dispatch {
        private val finished = AtomicBoolean()
        override val priority: Int get() = 0

        override fun recordTokens(count: Int): Int? = null

        override fun finish(outcome: AttemptOutcome) {
            if (!finished.compareAndSet(false, true)) return
            hops.forEach { count(it.instance).decrementAndGet() }
            onSnapshot()
        }
    }
}
