package org.bramleytrestle.serving

import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import org.bramleytrestle.serving.admission.AdmissionLine
import org.bramleytrestle.serving.admission.Claim
import org.bramleytrestle.serving.admission.Place
import org.bramleytrestle.serving.admission.PlaceState

/**
 * Chooses the chain of a stream. A new stream waits in its service's [AdmissionLine] while all
 * chains are full; the one that starts has its place on the chain counted in [ServerLoad].
 *
 * Less urgent streams leave a part of each chain to more urgent ones: reports of load are late, so
 * a chain that is full by them has no room for the urgent streams of the meantime. This applies
 * only where the configuration has streams of several urgencies on the service.
 *
 * @param onEnd called with each place that no longer waits and the time that it waited.
 * @param await blocks until a place no longer waits, at most for the given time.
 */
internal class ChainAdmission(
    private val selector: ServerSelector,
    private val now: () -> Moment,
    private val onEnd: (service: String, Place, Duration) -> Unit = { _, _, _ -> },
    private val await: (Place, Duration) -> Unit = Place::await
) {
    /**
     * Which chains a stream may use.
     *
     * @property resumed whether the caller has received a part of the answer.
     * @property tried labels of chains that it avoids at first; a resumed stream uses all but the
     * [interrupted] ones after a while.
     * @property firstEventTime usual time from the start to the first event.
     * @property mayStartAt whether the first server may get it.
     */
    class ChainConstraints(
        val resumed: Boolean,
        val tried: Set<String>,
        val interrupted: Set<String>,
        val firstEventTime: Duration,
        val mayStartAt: (BackendServer, retryRefused: Boolean) -> Boolean
    )

    /** What a waiting stream saw when it last looked for room; guarded by its line. */
    private class RoomSearch(val since: Moment) {
        var taken: ChainChoice? = null
        var utilisation: Double? = null
        val noChain get() = utilisation == null
        val overloaded get() = (utilisation ?: 0.0) > OVERLOADED
    }

    private val lines = ConcurrentHashMap<String, AdmissionLine>()

    init {
        selector.onRoom { lines.values.forEach(AdmissionLine::onChange) }
    }

    /** Number of streams that wait for room. */
    val waiting: Int get() = lines.values.sumOf { it.waiting }

    /**
     * A chain with a permit for one request to its first server, whose load counts the stream; null
     * if there is none in time.
     */
    fun choose(
        task: RequestTask,
        attempts: AttemptTracker,
        active: ActiveRequest,
        constraints: ChainConstraints
    ): ChainChoice? {
        val service = task.service.name
        val line = lines.computeIfAbsent(service) {
            AdmissionLine(now) { place, waited -> onEnd(service, place, waited) }
        }
        val search = RoomSearch(now())
        val place = Place(claim(task, constraints)) { takeRoom(task, constraints, search) }
        line.submit(place)
        active.arm({ line.cancel(place) }, now().monotonicNanos, null)
        try {
            awaitRoom(task, constraints, line, place, search)
        } finally {
            active.disarm()
            line.cancel(place)
        }
        attempts.heldBackFor = if (search.noChain) selector.timeUntilTake(service) else null
        if (search.taken == null && !search.noChain) {
            attempts.lastReason = "all chains are full: ${place.state.label} level=${task.level} " +
                "utilisation=${search.utilisation} waiting=${line.waiting} " +
                "expectedWait=${line.expectedWait()}"
        }
        return search.taken
    }

    private fun awaitRoom(
        task: RequestTask,
        constraints: ChainConstraints,
        line: AdmissionLine,
        place: Place,
        search: RoomSearch
    ) {
        while (place.state == PlaceState.WAITING) {
            val left = (place.claim.endNanos - now().monotonicNanos).nanoseconds
            val hopeless = !constraints.resumed && (search.noChain || search.overloaded)
            if (hopeless || !left.isPositive()) return line.cancel(place)
            await(place, minOf(left, untilChange(task, constraints, search)))
            line.onChange()
        }
    }

    /** Time until a chain may be used again without an event that tells so. */
    private fun untilChange(
        task: RequestTask,
        constraints: ChainConstraints,
        search: RoomSearch
    ): Duration {
        val change = selector.timeUntilChange(task.service.name) ?: Duration.INFINITE
        val retry = REFUSED_CHAIN_RETRY_DELAY - now().since(search.since)
        return if (constraints.resumed && retry.isPositive()) minOf(change, retry) else change
    }

    private fun claim(task: RequestTask, constraints: ChainConstraints): Claim {
        val nanos = now().monotonicNanos
        val aim = task.aimNanos - constraints.firstEventTime.inWholeNanoseconds
        val patience = if (constraints.resumed) {
            nanos + MAX_RESUME_WAIT.inWholeNanoseconds
        } else {
            nanos + (task.route.patience - FIRST_EVENT_RESERVE).inWholeNanoseconds
        }
        return Claim(
            level = if (constraints.resumed) Claim.RESUMED else task.level,
            organisation = task.organisation?.name,
            tokens = task.request.tokens ?: task.service.model?.meanTokens ?: 1,
            aimNanos = if (constraints.resumed) Long.MAX_VALUE / 2 else aim,
            endNanos = minOf(patience, task.deadlineNanos)
        )
    }

    /** Takes room for the stream if there is any now. */
    private fun takeRoom(
        task: RequestTask,
        constraints: ChainConstraints,
        search: RoomSearch
    ): Boolean {
        val retryRefused =
            constraints.resumed && now().since(search.since) >= REFUSED_CHAIN_RETRY_DELAY
        val avoided = if (retryRefused) constraints.interrupted else constraints.tried
        val limit = if (constraints.resumed) Double.MAX_VALUE else startLimit(task.level)
        val choice = selector.chain(task.service, avoided, limit) {
            constraints.mayStartAt(it, retryRefused)
        }
        search.utilisation = choice?.utilisation
        if (choice == null || choice.utilisation > limit) return false
        // Another request may have taken the permit meanwhile; another chain may have one.
        if (!selector.takeFirst(choice.chain)) return false
        selector.load(choice.chain.first).started()
        search.taken = choice
        return true
    }

    internal companion object {
        /** Utilisation of a chain above which streams of the most urgent level wait. */
        const val FULL = 1.0

        /** Utilisation of a chain above which waiting would still end in a refusal. */
        const val OVERLOADED = 1.3

        /**
         * Part of a chain that each level leaves to the next more urgent one, about what callers
         * ask for between two reports.
         */
        const val LEVEL_RESERVE = 0.1

        /** Part that streams of any level may fill. */
        const val MIN_START_LIMIT = 0.7

        /** Rest of the caller's patience that is kept for the time to the first event. */
        val FIRST_EVENT_RESERVE = 800.milliseconds

        /** Leaves a caller that waits 2 s for an event the time for a retry of its own. */
        val MAX_RESUME_WAIT = 500.milliseconds

        /** About the time in which a slot on a full chain becomes free. */
        val REFUSED_CHAIN_RETRY_DELAY = 100.milliseconds

        /** Utilisation up to which streams of [level] start. */
        fun startLimit(level: Int): Double = maxOf(MIN_START_LIMIT, FULL - level * LEVEL_RESERVE)
    }
}
