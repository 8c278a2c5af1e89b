package org.bramleytrestle.routing

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource
import org.bramleytrestle.model.Side
import org.bramleytrestle.model.StageHop

/** A running attempt that reports its progress to [events]. */
internal class ActiveDispatch(
    val entry: QueuedWork,
    val plan: ChainPlan,
    val limiters: List<ConcurrencyLimiter>,
    private val clock: TimeSource.WithComparableMarks,
    private val events: Events
) : Dispatch {
    /** Callbacks to the scheduler of the target. */
    internal interface Events {
        /** The last tokens took [stepRatio] times the planned time per token. */
        fun onStepsMeasured(dispatch: ActiveDispatch, stepRatio: Double)

        /** The attempt changed from the short to the long class. */
        fun onDemoted(dispatch: ActiveDispatch)

        /** The attempt generated [tokens] more tokens beyond its estimate. */
        fun onEstimateExceeded(dispatch: ActiveDispatch, tokens: Int)

        fun onFinished(dispatch: ActiveDispatch, outcome: AttemptOutcome)
    }

    private val started = clock.markNow()
    private var lastSample: ComparableTimeMark? = null
    private var sampledTokens = 0
    private var isDemoted = false
    private var isFinished = false

    var generatedTokens = 0
        private set

    /** The class whose slots the attempt holds; it changes on demotion. */
    var workClass: WorkClass = entry.workClass
        private set

    override val hops: List<StageHop> get() = plan.hops
    override val side: Side get() = entry.side
    override val priority: Int get() = entry.workClass.priority

    /** Time for which the attempt has held its slots. */
    val elapsed: Duration get() = started.elapsedNow()

    @Synchronized
    override fun recordTokens(count: Int): Int? {
        if (isFinished || count <= 0) return null
        val before = generatedTokens
        generatedTokens += count
        val excess = generatedTokens - maxOf(before, entry.estimate.tokens)
        if (excess > 0) events.onEstimateExceeded(this, excess)
        sampleStepTime(count)
        if (isDemoted || generatedTokens <= entry.estimate.demoteAfter) return null
        isDemoted = true
        if (workClass == WorkClass.SHORT) {
            events.onDemoted(this)
            workClass = WorkClass.LONG
            return WorkClass.LONG.priority
        }
        return WorkClass.LONG.priority + LONG_DEMOTION_OFFSET
    }

    override fun finish(outcome: AttemptOutcome) {
        synchronized(this) {
            if (isFinished) return
            isFinished = true
        }
        events.onFinished(this, outcome)
    }

    /** Excludes the first token, whose time includes the prefill of the prompt. */
    private fun sampleStepTime(count: Int) {
        val previousSample = lastSample
        if (previousSample == null) {
            lastSample = clock.markNow()
            return
        }
        sampledTokens += count
        if (sampledTokens < SAMPLE_TOKENS || plan.tokenMicros <= 0) return
        val micros = previousSample.elapsedNow().toDouble(DurationUnit.MICROSECONDS) / sampledTokens
        events.onStepsMeasured(this, micros / plan.tokenMicros)
        lastSample = clock.markNow()
        sampledTokens = 0
    }

    private companion object {
        const val SAMPLE_TOKENS = 8

        /** Puts long work that exceeds its estimate behind other long work. */
        const val LONG_DEMOTION_OFFSET = 10
    }
}
