package org.bramleytrestle.routing

import com.github.michaelbull.result.Result
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CompletableDeferred
import org.bramleytrestle.model.Failure
import org.bramleytrestle.model.Side
import org.bramleytrestle.settings.EffectiveSettings

/** A queued attempt. Entries are ordered by a bounded deadline, then by arrival. */
internal class QueuedWork(
    val work: Work,
    val settings: EffectiveSettings,
    val side: Side,
    val estimate: LengthEstimate,
    val lengthEstimator: LengthEstimator,
    val sequence: Long,
    queuedAt: ComparableTimeMark
) : Comparable<QueuedWork> {
    val result = CompletableDeferred<Result<Dispatch, Failure>>()
    val workClass: WorkClass get() = estimate.workClass

    /** Estimated tokens, charged until the actual count is known. */
    val tokens: Int = work.promptTokens + work.emittedTokens + estimate.tokens

    /** Later attempts go ahead of first attempts; the retry budgets bound their number. */
    val isLaterAttempt: Boolean get() = work.attempt > 1

    /** Bounded because strict order by deadline would starve work with a distant deadline. */
    private val orderingDeadline = minOf(work.deadline, queuedAt + MAX_ORDERING_DELAY)

    override fun compareTo(other: QueuedWork): Int =
        compareValuesBy(this, other, { it.orderingDeadline }, { it.sequence })

    private companion object {
        /** Work queued for this long goes ahead of any work that arrives from then on. */
        val MAX_ORDERING_DELAY = 2.seconds
    }
}
