package org.bramleytrestle.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Load and health of one server as observed by this node: its own requests in flight, the load that
 * the server last reported, and how long the server is avoided after failures.
 *
 * @property announced what the server has announced of itself.
 * @param onRoom called when an answer or the end of a request may have shown room.
 */
public class ServerLoad(
    private val now: () -> Moment,
    public val announced: AnnouncedState = AnnouncedState("", now),
    private val onAvoidance: () -> Unit = {},
    private val onRoom: () -> Unit = {}
) {
    /**
     * @property ownInFlight requests of this node at the server when the report arrived.
     * @property own whether the server sent the report to this node.
     */
    private class Report(
        val running: Int,
        val waiting: Int,
        val ownInFlight: Int,
        val at: Moment,
        val own: Boolean
    )

    private val inFlight = AtomicInteger()
    private val consecutiveFailures = AtomicInteger()

    @Volatile
    private var report: Report? = null

    @Volatile
    private var avoidUntilNanos = Long.MIN_VALUE

    @Volatile
    private var foreignBytesAt: Moment? = null

    /**
     * Whether the server has lately sent bytes that belong to no request, so that its connections
     * should not be used again.
     */
    public val sendsForeignBytes: Boolean
        get() = foreignBytesAt?.let { now().since(it) < FOREIGN_BYTES_LIFETIME } ?: false

    /** Records that the server sent bytes that belong to no request; [detail] is for the log. */
    public fun sentForeignBytes(detail: String) {
        if (!sendsForeignBytes) {
            log.warn { "servers: server=${announced.server} connections not kept: $detail" }
        }
        foreignBytesAt = now()
    }

    /** Requests in flight that this node sent. */
    public val ownInFlight: Int get() = inFlight.get()

    /** Estimated requests at the server: its last report, adjusted by this node's own changes. */
    public val estimate: Int get() = estimate(now())

    /** Like [estimate], for callers that compare many servers at the same time [at]. */
    internal fun estimate(at: Moment): Int {
        val last = report?.takeIf { at.since(it.at) < REPORT_LIFETIME } ?: return ownInFlight
        return maxOf(ownInFlight, last.running + last.waiting + ownInFlight - last.ownInFlight)
    }

    public val avoided: Boolean
        get() = avoidUntilNanos != Long.MIN_VALUE && now().monotonicNanos < avoidUntilNanos

    /** Time until the server is used again or its last report no longer counts; null if neither. */
    internal fun timeUntilChange(): Duration? {
        val at = now()
        val untilUsed = avoidUntilNanos.takeIf { it != Long.MIN_VALUE }
            ?.let { (it - at.monotonicNanos).nanoseconds }
        val untilOld = report?.let { REPORT_LIFETIME - at.since(it.at) }
        return listOfNotNull(untilUsed, untilOld, announced.timeUntilTake())
            .filter { it.isPositive() && it.isFinite() }.minOrNull()
    }

    public fun started() {
        inFlight.incrementAndGet()
    }

    public fun ended() {
        inFlight.decrementAndGet()
        onRoom()
    }

    public fun reported(running: Int, waiting: Int) {
        report = Report(running, waiting, ownInFlight, now(), own = true)
        onRoom()
    }

    /** Records a report that another node received, unless a newer one is known. */
    internal fun learned(sample: LoadSample) {
        val at = now() + -sample.age
        val known = report
        if (known != null && known.at.monotonicNanos - at.monotonicNanos >= 0) return
        report = Report(sample.running, sample.waiting, ownInFlight, at, own = false)
    }

    /** The newest report, for other nodes; null if it is older than [maxAge]. */
    internal fun sample(id: String, born: Long, maxAge: Duration, ownOnly: Boolean): LoadSample? {
        val last = report?.takeIf { it.own || !ownOnly } ?: return null
        val age = now().since(last.at)
        if (age > maxAge) return null
        return LoadSample(id, born, last.running, last.waiting, age.inWholeMilliseconds)
    }

    /** Avoids the server; the time doubles with each consecutive failure up to a limit. */
    public fun failed() {
        val count = consecutiveFailures.incrementAndGet().coerceAtMost(MAX_COUNTED_FAILURES)
        avoid(INITIAL_AVOIDANCE * (1 shl count - 1))
    }

    public fun succeeded() {
        consecutiveFailures.set(0)
    }

    /** Avoids the server for [span], or longer if it is avoided longer already. */
    public fun avoid(span: Duration) {
        val until = now().monotonicNanos + span.inWholeNanoseconds
        val current = avoidUntilNanos
        if (current == Long.MIN_VALUE || until - current > 0) avoidUntilNanos = until
        onAvoidance()
    }

    private companion object {
        val log = KotlinLogging.logger {}

        /** A server that repeats answers does so on few of them. */
        val FOREIGN_BYTES_LIFETIME = Duration.parse("10m")

        /** An older report is less accurate than the number of own requests in flight. */
        val REPORT_LIFETIME = Duration.parse("1s")

        /** About the time after which a restarted server answers again. */
        val INITIAL_AVOIDANCE = Duration.parse("1s")
        const val MAX_COUNTED_FAILURES = 3
    }
}
