package org.bramleytrestle.routing

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource
import org.bramleytrestle.model.Side
import org.bramleytrestle.model.StageHop

/** A running attempt; [events] gets what the queue and the limiters need to know. */
internal class ActiveDispatch(
    val entry: QueuedWork,
    val plan: ChainPlan,
    val slots: List<ConcurrencyLimiter>,
    private val clock: TimeSource.WithComparableMarks,
    private val events: Events
) : Dispatch {
    /** What a dispatch reports to the scheduler of its target. */
    internal interface Events {
        /** A part of the attempt took [stepRatio] times the planned time per token. */
        fun stepped(dispatch: ActiveDispatch, stepRatio: Double)

        fun demoted(dispatch: ActiveDispatch)

        fun outran(dispatch: ActiveDispatch, tokens: Int)

        fun finished(dispatch: ActiveDispatch, outcome: AttemptOutcome)
    }

    private val started = clock.markNow()
    private var lastSample: ComparableTimeMark? = null
    private var sampledTokens = 0
    private var lowered = false
    private var isFinished = false

    /** Generated tokens so far. */
    var generated = 0
        private set

    /** The class whose slots the attempt holds. */
    var workClass: WorkClass = entry.workClass
        private set

    override val hops: List<StageHop> get() = plan.hops
    override val side: Side get() = entry.side
    override val priority: Int get() = entry.workClass.priority

    val held: Duration get() = started.elapsedNow()

    @Synchronized
    override fun tokens(count: Int): Int? {
        if (isFinished || count <= 0) return null
        val before = generated
        generated += count
        val over = generated - maxOf(before, entry.estimate.tokens)
        if (over > 0) events.outran(this, over)
        sample(count)
        if (lowered || generated <= entry.estimate.demoteAfter) return null
        lowered = true
        if (workClass == WorkClass.SHORT) {
            events.demoted(this)
            workClass = WorkClass.LONG
            return WorkClass.LONG.priority
        }
        return WorkClass.LONG.priority + DEMOTION
    }

    override fun finish(outcome: AttemptOutcome) {
        synchronized(this) {
            if (isFinished) return
            isFinished = true
        }
        events.finished(this, outcome)
    }

    /** Measures steps between tokens only; the first token has the time of the prompt in it. */
    private fun sample(count: Int) {
        val since = lastSample
        if (since == null) {
            lastSample = clock.markNow()
            return
        }
        sampledTokens += count
        if (sampledTokens < SAMPLE_TOKENS || plan.tokenMicros <= 0) return
        val micros = since.elapsedNow().toDouble(DurationUnit.MICROSECONDS) / sampledTokens
        events.stepped(this, micros / plan.tokenMicros)
        lastSample = clock.markNow()
        sampledTokens = 0
    }

    private companion object {
        const val SAMPLE_TOKENS = 8

        /** Long work that outruns its estimate goes behind other long work. */
        const val DEMOTION = 10
    }
}
