package org.bramleytrestle.routing

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.RepeatPolicy
import org.bramleytrestle.model.Side
import org.bramleytrestle.settings.EffectiveSettings

/** Decides whether and where a failed attempt is followed by another. */
internal class RetryPolicy(
    private val planner: ChainPlanner,
    private val clock: TimeSource.WithComparableMarks,
    private val random: Random
) {
    /** [running] attempts of the same target run now; each may have to be resumed. */
    fun decide(
        work: Work,
        failed: FailedAttempt,
        budget: RetryBudget,
        running: Int
    ): RetryDecision {
        val settings = planner.snapshot.settings.effective(work.organisation, work.service)
        val repeatable = work.model != null || failed.policy == RepeatPolicy.REPEATABLE
        val safe = failed.notRun || repeatable || failed.policy == RepeatPolicy.DEDUPLICATED
        val known = work.copy(mayHaveRun = work.mayHaveRun || !failed.notRun)
        val next = known.copy(
            attempt = work.attempt + 1,
            excluded = work.excluded + failed.instance,
            side = failed.side
        )
        val delay = backoff(work.attempt)
        val inTime = clock.markNow() + delay < work.deadline
        val routed = if (safe && inTime) routed(next, settings) else null
        val refusal = when {
            !safe -> ErrorKind.OUTCOME_UNKNOWN
            !inTime -> ErrorKind.DEADLINE_NOT_RUN
            work.attempt >= settings.maxAttempts -> ErrorKind.OVERLOADED
            routed == null -> ErrorKind.NO_ROUTE
            !allowed(next, settings, budget, running) -> ErrorKind.OVERLOADED
            else -> null
        }
        if (refusal == null && routed != null) return RetryDecision.Again(routed, delay)
        val kind = known.honestKind(refusal ?: ErrorKind.NO_ROUTE)
        val provable = kind == ErrorKind.OUTCOME_UNKNOWN && repeatable
        return RetryDecision.GiveUp(if (provable) ErrorKind.BACKEND_FAILED else kind)
    }

    private fun allowed(
        next: Work,
        settings: EffectiveSettings,
        budget: RetryBudget,
        running: Int
    ): Boolean = if (next.emittedTokens > 0) {
        budget.tryRecovery(running)
    } else {
        budget.tryRetry(settings.retryBudget)
    }

    /**
     * [next] on its own side, else on the other one, else on servers that failed before: a server
     * without an alternative may have recovered. A share of 0 or 1 keeps all work on one side.
     */
    private fun routed(next: Work, settings: EffectiveSettings): Work? {
        val own = listOf(next)
        val other = if (settings.newShare > 0.0 && settings.newShare < 1.0) {
            listOf(next.copy(side = next.side?.other()))
        } else {
            emptyList()
        }
        val again = listOf(next.copy(excluded = emptySet()))
        return (own + other + again).firstOrNull { candidate ->
            candidate.side?.let { planner.exists(candidate.query(it, 1)) } == true
        }
    }

    /** Doubles with each attempt; the random half keeps failed requests from returning at once. */
    private fun backoff(attempt: Int): Duration {
        val most = BASE * (1 shl (attempt - 1).coerceIn(0, MAX_DOUBLINGS))
        return most * (1 + random.nextDouble()) / 2
    }

    private companion object {
        val BASE = 20.milliseconds

        /** At most 20 ms * 2^6 = 1.28 s. */
        const val MAX_DOUBLINGS = 6
    }
}

internal fun Side.other(): Side = if (this == Side.OLD) Side.NEW else Side.OLD
