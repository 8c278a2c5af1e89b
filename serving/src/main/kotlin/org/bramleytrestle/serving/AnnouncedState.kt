package org.bramleytrestle.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What one start of a server has announced in its answers to this node, and whether this node may
 * send it a request now. Each request to the server, first or repeated, takes a permit here.
 *
 * A server states its limit for all nodes together. This node keeps to its [share], so the sum holds
 * without an exchange between nodes, also while some of them do not know the limit yet.
 *
 * @param server id of the server, for log lines.
 * @param share part of all requests that this node may send, from 0 to 1.
 * @param onChange called with the kind of an announcement that changed the state.
 */
public class AnnouncedState(
    internal val server: String,
    private val now: () -> Moment,
    private val share: () -> Double = { 1.0 },
    private val onChange: (kind: AnnouncementKind) -> Unit = {},
    private val random: Random = Random.Default
) {
    /** @property nextNanos monotonic time from which the next permit is valid. */
    private data class Limit(val perSecond: Double, val readAt: Moment, val nextNanos: Long)

    private val limit = AtomicReference<Limit?>(null)

    /** When the server said that it is leaving. It never takes that back: a new start is another. */
    private val leavingSince = AtomicReference<Moment?>(null)

    /** Monotonic time until which the server wants nothing from this node. */
    private val waitUntilNanos = AtomicReference<Long?>(null)

    /** Time since the server said that it is leaving; null if it has not. */
    public val leavingFor: Duration? get() = leavingSince.get()?.let { now().since(it) }

    /** Kinds of announcements that hold requests back now. */
    public val kinds: Set<AnnouncementKind>
        get() = setOfNotNull(
            AnnouncementKind.LIMIT.takeIf { limit.get() != null },
            AnnouncementKind.LEAVING.takeIf { leavingSince.get() != null },
            AnnouncementKind.WAIT.takeIf { waitTime(now().monotonicNanos) > 0 }
        )

    /**
     * Records what an answer says.
     *
     * @param sentAt when its request was sent. An answer to an earlier request than the one that
     * named the limit may have been written before, so it does not end the limit.
     */
    public fun read(announcement: ServerAnnouncement, requestId: String, sentAt: Moment) {
        if (announcement.leaving && leavingSince.compareAndSet(null, now())) {
            log.info { "servers: server=$server leaving request=$requestId" }
            onChange(AnnouncementKind.LEAVING)
        }
        announcement.wait?.let { readWait(it, requestId) }
        if (announcement.limitReadable) {
            readLimit(announcement.requestsPerSecond, requestId, sentAt)
        }
    }

    private fun readWait(wait: Duration, requestId: String) {
        // Nodes that the server refused at the same time do not all return at the same time.
        val spread = minOf(wait * WAIT_SPREAD, MAX_WAIT_SPREAD) * random.nextDouble()
        val nanos = now().monotonicNanos
        val waited = waitTime(nanos) > 0
        val until = nanos + (wait + spread).inWholeNanoseconds
        waitUntilNanos.updateAndGet { known ->
            if (known == null || until - known > 0) until else known
        }
        if (waited) return
        log.info { "servers: server=$server wait=$wait spread=$spread request=$requestId" }
        onChange(AnnouncementKind.WAIT)
    }

    private fun readLimit(named: Double?, requestId: String, sentAt: Moment) {
        while (true) {
            val known = limit.get()
            if (named == null && known == null) return
            if (named == null && known != null &&
                sentAt.monotonicNanos - known.readAt.monotonicNanos < 0
            ) {
                return
            }
            val next = named?.let { renewed(it, known) }
            if (!limit.compareAndSet(known, next)) continue
            if (next?.perSecond != known?.perSecond) {
                log.info {
                    "servers: server=$server limit=${next?.perSecond}/s before=" +
                        "${known?.perSecond}/s share=${share()} request=$requestId"
                }
                onChange(AnnouncementKind.LIMIT)
            }
            return
        }
    }

    /** Whether the server may be asked for its state or get an order, which are no requests. */
    public val acceptsControl: Boolean
        get() = leavingSince.get() == null && waitTime(now().monotonicNanos) == 0L

    /** Whether [tryTake] would succeed now. */
    public fun mayTake(): Boolean = timeUntilTake() <= Duration.ZERO

    /**
     * Time until the server takes the next request of this node: zero if it does now, infinite if
     * it never will.
     */
    public fun timeUntilTake(): Duration {
        if (leavingSince.get() != null) return Duration.INFINITE
        if (waitUntilNanos.get() == null && limit.get() == null) return Duration.ZERO
        val nanos = now().monotonicNanos
        val waitTime = waitTime(nanos)
        val known = limit.get() ?: return waitTime.nanoseconds
        val interval = interval(known) ?: return Duration.INFINITE
        return maxOf(waitTime, validFrom(known, interval, nanos) - nanos, 0).nanoseconds
    }

    /** Takes a permit for one request to the server; false if there is none now. */
    public fun tryTake(): Boolean {
        while (true) {
            val nanos = now().monotonicNanos
            if (leavingSince.get() != null || waitTime(nanos) > 0) return false
            val known = limit.get() ?: return true
            val interval = interval(known) ?: return false
            val from = validFrom(known, interval, nanos)
            if (from > nanos) return false
            if (limit.compareAndSet(known, known.copy(nextNanos = from + interval))) return true
        }
    }

    /** Nanoseconds for which the server still wants nothing from this node, or 0. */
    private fun waitTime(nanos: Long): Long =
        waitUntilNanos.get()?.let { it - nanos }?.coerceAtLeast(0) ?: 0

    private fun renewed(named: Double, known: Limit?): Limit {
        val rate = maxOf(named, MIN_REQUESTS_PER_SECOND)
        val at = now()
        if (known?.perSecond == rate) return known.copy(readAt = at)
        // Nodes read a new limit at about the same time; their permits are spread over the interval.
        val limit = Limit(rate, at, at.monotonicNanos)
        val interval = interval(limit) ?: 0
        return limit.copy(nextNanos = at.monotonicNanos + (interval * random.nextDouble()).toLong())
    }

    /** Nanoseconds between two permits of this node; null if its share is not known yet. */
    private fun interval(limit: Limit): Long? {
        val rate = limit.perSecond * share()
        return if (rate > 0) (NANOS_PER_SECOND / rate).toLong() else null
    }

    /**
     * Monotonic time from which the next permit is valid. A permit that is not used lapses: if all
     * nodes saved one, a sudden load would exceed the limit by the number of nodes.
     */
    private fun validFrom(limit: Limit, interval: Long, nanos: Long): Long {
        val lifetime = NANOS_PER_SECOND * (BURST_SECONDS + BURST_REQUESTS / limit.perSecond)
        val late = nanos - limit.nextNanos - lifetime.toLong()
        if (late <= 0) return limit.nextNanos
        return limit.nextNanos + ((late - 1) / interval + 1) * interval
    }

    private companion object {
        private val log = KotlinLogging.logger {}

        /** Part of the time that a server named by which requests return later, at random. */
        private const val WAIT_SPREAD = 0.25
        private val MAX_WAIT_SPREAD = 1.seconds

        private const val NANOS_PER_SECOND = 1_000_000_000.0

        /** Permits of all nodes that may be valid at once: those of this time, and two requests. */
        private const val BURST_SECONDS = 1.0
        private const val BURST_REQUESTS = 2.0

        /** A server that takes less still gets a request now and then, which shows the end of it. */
        private const val MIN_REQUESTS_PER_SECOND = 0.25
    }
}
