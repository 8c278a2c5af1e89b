package org.bramleytrestle.serving

import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

/**
 * What this node knows of one server beyond its entry: the own requests in flight, the load that
 * it last reported, and until when it is avoided after failures.
 */
public class ServerLoad(private val now: () -> Moment, private val onAvoidance: () -> Unit = {}) {
    private class Report(val running: Int, val waiting: Int, val ownThen: Int, val at: Moment)

    private val inFlight = AtomicInteger()
    private val failures = AtomicInteger()

    @Volatile
    private var report: Report? = null

    @Volatile
    private var avoidUntilNanos = Long.MIN_VALUE

    public val own: Int get() = inFlight.get()

    /** Requests at the server: the reported ones, changed by what this node did since. */
    public val estimate: Int get() = estimate(now())

    /** [estimate] for a caller that asks many servers at one moment. */
    internal fun estimate(at: Moment): Int {
        val last = report?.takeIf { at.since(it.at) < REPORT_LIFE } ?: return own
        return maxOf(own, last.running + last.waiting + own - last.ownThen)
    }

    public val avoided: Boolean
        get() = avoidUntilNanos != Long.MIN_VALUE && now().monotonicNanos < avoidUntilNanos

    public fun started() {
        inFlight.incrementAndGet()
    }

    public fun ended() {
        inFlight.decrementAndGet()
    }

    public fun reported(running: Int, waiting: Int) {
        report = Report(running, waiting, own, now())
    }

    /** Avoids the server, longer with each failure in a row. */
    public fun failed() {
        val count = failures.incrementAndGet().coerceAtMost(MAX_DOUBLINGS)
        avoid(FIRST_AVOIDANCE * (1 shl count - 1))
    }

    public fun succeeded() {
        failures.set(0)
    }

    private fun avoid(span: Duration) {
        avoidUntilNanos = now().monotonicNanos + span.inWholeNanoseconds
        onAvoidance()
    }

    private companion object {
        /** A report older than this says less than the own requests in flight. */
        val REPORT_LIFE = Duration.parse("1s")

        /** About the time in which a restarted server answers again. */
        val FIRST_AVOIDANCE = Duration.parse("1s")
        const val MAX_DOUBLINGS = 3
    }
}
