package org.bramleytrestle.routing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
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

/** Starts work where there is room and queues the rest until its deadline. */
@OptIn(ExperimentalCoroutinesApi::class)
public class DefaultRequestRouter(
    private val planner: ChainPlanner,
    private val clock: TimeSource.WithComparableMarks,
    private val random: Random,
    private val split: (Work, EffectiveSettings) -> Side = ::splitByHash
) : RequestRouter {
    private val inFlight = ConcurrentHashMap<InstanceId, AtomicInteger>()
    private val queue = LinkedHashSet<Entry>()

    private class Entry(val work: Work, val side: Side) {
        val result = CompletableDeferred<Dispatch>()
    }

    override suspend fun acquire(work: Work): Result<Dispatch, Failure> {
        val settings = planner.snapshot.settings.effective(work.organisation, work.service)
        val entry = Entry(work, work.side ?: split(work, settings))
        if (!planner.exists(query(entry))) {
            return Err(Failure(ErrorKind.NO_ROUTE, "no chain for ${work.service}", 1))
        }
        synchronized(queue) { queue.add(entry) }
        onSnapshot()
        val left = work.deadline - clock.markNow()
        val dispatch = try {
            withTimeoutOrNull(left) { entry.result.await() }
        } catch (e: CancellationException) {
            if (!leave(entry)) entry.result.getCompleted().finish(AttemptOutcome.Cancelled)
            throw e
        }
        if (dispatch != null || !leave(entry)) return Ok(dispatch ?: entry.result.await())
        return Err(Failure(ErrorKind.DEADLINE_NOT_RUN, "deadline passed in the queue", 1))
    }

    private fun leave(entry: Entry) = synchronized(queue) { queue.remove(entry) }

    /** Reconsiders queued work after the planner published a snapshot. */
    public fun onSnapshot(): Unit = synchronized(queue) {
        val entries = queue.iterator()
        while (entries.hasNext()) {
            val entry = entries.next()
            val plan = planner.choose(query(entry)) ?: continue
            entries.remove()
            plan.hops.forEach { count(it.instance).incrementAndGet() }
            entry.result.complete(Slots(plan.hops, entry.side))
        }
    }

    override fun retry(work: Work, failed: FailedAttempt): RetryDecision {
        val safe = failed.notRun || work.model != null || failed.policy != RepeatPolicy.NEVER
        val settings = planner.snapshot.settings.effective(work.organisation, work.service)
        return when {
            !safe -> RetryDecision.GiveUp(ErrorKind.OUTCOME_UNKNOWN)

            work.deadline.hasPassedNow() -> RetryDecision.GiveUp(ErrorKind.DEADLINE_EXCEEDED)

            work.attempt >= settings.maxAttempts -> RetryDecision.GiveUp(ErrorKind.BACKEND_FAILED)

            else -> RetryDecision.Again(
                work.copy(
                    attempt = work.attempt + 1,
                    excluded = work.excluded + failed.instance,
                    side = failed.side
                ),
                random.nextInt(MAX_BACKOFF_MILLIS).milliseconds
            )
        }
    }

    private fun count(instance: InstanceId) = inFlight.computeIfAbsent(instance) { AtomicInteger() }

    private fun query(entry: Entry) = ChainQuery(
        entry.work.model,
        entry.work.service,
        entry.side,
        entry.work.promptTokens,
        entry.work.maxTokens,
        entry.work.prefixHash,
        entry.work.excluded,
        { count(it).get() < (planner.snapshot.reports[it]?.slots ?: 1) },
        { count(it).get() }
    )

    private inner class Slots(override val hops: List<StageHop>, override val side: Side) :
        Dispatch {
        private val finished = AtomicBoolean()
        override val priority: Int get() = 0

        override fun tokens(count: Int): Int? = null

        override fun finish(outcome: AttemptOutcome) {
            if (!finished.compareAndSet(false, true)) return
            hops.forEach { count(it.instance).decrementAndGet() }
            onSnapshot()
        }
    }

    private companion object {
        const val MAX_BACKOFF_MILLIS = 50
    }
}

/** Splits by a hash of organisation, service and caller key. */
internal fun splitByHash(work: Work, settings: EffectiveSettings): Side {
    val key = "${work.organisation}/${work.service}/${work.sideKey}".hashCode()
    val point = (key * GOLDEN).ushr(1).toDouble() / Int.MAX_VALUE
    return if (point < settings.newShare) Side.NEW else Side.OLD
}

private const val GOLDEN = -1640531527
