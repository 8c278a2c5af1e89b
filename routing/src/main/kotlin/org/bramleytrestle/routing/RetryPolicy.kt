package org.bramleytrestle.routing

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.RepeatPolicy
import org.bramleytrestle.model.Side
import org.bramleytrestle.settings.EffectiveSettings

/** Decides whether a failed attempt is retried, and which servers the retry may use. */
internal class RetryPolicy(
    private val planner: ChainPlanner,
    private val clock: TimeSource.WithComparableMarks,
    private val random: Random
) {
    /** [running] is the number of running attempts of the target; each may need a resumption. */
    fun decide(
        work: Work,
        failed: FailedAttempt,
        budget: RetryBudget,
        running: Int
    ): RetryDecision {
        val settings = planner.snapshot.settings.effective(work.organisation, work.service)
        val repeatable = work.model != null || failed.policy == RepeatPolicy.REPEATABLE
        val safe = failed.notRun || repeatable || failed.policy == RepeatPolicy.DEDUPLICATED
        val updated = work.copy(mayHaveRun = work.mayHaveRun || !failed.notRun)
        val next = updated.copy(
            attempt = work.attempt + 1,
            excluded = work.excluded + failed.instance,
            side = failed.side
        )
        val delay = backoff(work.attempt)
        val inTime = clock.markNow() + delay < work.deadline
        val routed = if (safe && inTime) findRoute(next, settings) else null
        val refusal = when {
            !safe -> ErrorKind.OUTCOME_UNKNOWN
            !inTime -> ErrorKind.DEADLINE_NOT_RUN
            work.attempt >= settings.maxAttempts -> ErrorKind.OVERLOADED
            routed == null -> ErrorKind.NO_ROUTE
            !allowed(next, settings, budget, running) -> ErrorKind.OVERLOADED
            else -> null
        }
        if (refusal == null && routed != null) return RetryDecision.Retry(routed, delay)
        val kind = updated.adjustedKind(refusal ?: ErrorKind.NO_ROUTE)
        val mayReportFailure = kind == ErrorKind.OUTCOME_UNKNOWN && repeatable
        return RetryDecision.GiveUp(if (mayReportFailure) ErrorKind.BACKEND_FAILED else kind)
    }

    private fun allowed(
        next: Work,
        settings: EffectiveSettings,
        budget: RetryBudget,
        running: Int
    ): Boolean = if (next.emittedTokens > 0) {
        budget.tryResume(running)
    } else {
        budget.tryRetry(settings.retryBudget)
    }

    /**
     * Returns [next] on its own side if a chain exists there, else on the other side, else with the
     * servers that failed before, which may have recovered. Returns null if no chain exists at all.
     * A share of 0 or 1 keeps all work on one side.
     */
    private fun findRoute(next: Work, settings: EffectiveSettings): Work? {
        val ownSide = listOf(next)
        val otherSide = if (settings.newShare > 0.0 && settings.newShare < 1.0) {
            listOf(next.copy(side = next.side?.other()))
        } else {
            emptyList()
        }
        val withFailedServers = listOf(next.copy(excluded = emptySet()))
        return (ownSide + otherSide + withFailedServers).firstOrNull { candidate ->
            candidate.side?.let { planner.hasChain(candidate.query(it, 1)) } == true
        }
    }

    /** Exponential backoff; its random half keeps failed requests from being retried at once. */
    private fun backoff(attempt: Int): Duration {
        val maximum = BASE_BACKOFF * (1 shl (attempt - 1).coerceIn(0, MAX_DOUBLINGS))
        return maximum * (1 + random.nextDouble()) / 2
    }

    private companion object {
        val BASE_BACKOFF = 20.milliseconds

        /** Limits the backoff to 20 ms * 2^6 = 1.28 s. */
        const val MAX_DOUBLINGS = 6
    }
}

internal fun Side.other(): Side = if (this == Side.OLD) Side.NEW else Side.OLD
