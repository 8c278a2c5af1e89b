package org.bramleytrestle.routing

import com.github.michaelbull.result.Result
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CompletableDeferred
import org.bramleytrestle.model.Failure
import org.bramleytrestle.model.Side
import org.bramleytrestle.settings.EffectiveSettings

/** One attempt on its way through the queue. */
internal class QueuedWork(
    val work: Work,
    val settings: EffectiveSettings,
    val side: Side,
    val estimate: LengthEstimate,
    val history: ServiceHistory,
    val sequence: Long,
    entered: ComparableTimeMark
) : Comparable<QueuedWork> {
    val result = CompletableDeferred<Result<Dispatch, Failure>>()
    val workClass: WorkClass get() = estimate.workClass

    /** Tokens charged before the real count is known. */
    val tokens: Int = work.promptTokens + work.emittedTokens + estimate.tokens

    /** Later attempts go ahead of first ones; the retry budgets bound their number. */
    val ahead: Boolean get() = work.attempt > 1

    /** Strict order by deadline would starve work with a late one, so patience is bounded. */
    private val due = minOf(work.deadline, entered + PATIENCE)

    override fun compareTo(other: QueuedWork): Int =
        compareValuesBy(this, other, { it.due }, { it.sequence })

    private companion object {
        /** After this time in the queue work goes ahead of later work with earlier deadlines. */
        val PATIENCE = 2.seconds
    }
}
