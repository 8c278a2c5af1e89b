package org.bramleytrestle.serving.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import org.bramleytrestle.serving.Moment

/**
 * The work of one service that waits on this node for room.
 *
 * Work starts on arrival if nothing waits and there is room. Otherwise it waits in [StartOrder]; an
 * event that may have freed room ([onChange]) starts what it can. Work for which no room comes in
 * time is refused at once, on arrival or when more urgent work takes its turn: the expected wait is
 * the number of places ahead over the rate at which this node has started work lately.
 *
 * @param onEnd called with each place that no longer waits and the time that it waited.
 */
public class AdmissionLine(
    private val now: () -> Moment,
    private val onEnd: (Place, Duration) -> Unit = { _, _ -> }
) {
    private val order = StartOrder()
    private val rate = StartRate()

    /** Number of places that wait. */
    @Volatile
    public var waiting: Int = 0
        private set

    /** Starts [place], lets it wait or refuses it; see [Place.state]. */
    @Synchronized
    public fun submit(place: Place) {
        val nanos = now().monotonicNanos
        place.joinedNanos = nanos
        order.add(place, nanos)
        startWaiting(nanos)
        refuseHopeless(place, nanos)
        waiting = order.size
    }

    /** Starts waiting work after servers may have gained room or may be used again. */
    public fun onChange() {
        if (waiting == 0) return
        synchronized(this) {
            startWaiting(now().monotonicNanos)
            waiting = order.size
        }
    }

    /** Ends the wait of [place] for a reason of its own; no effect if it no longer waits. */
    @Synchronized
    public fun cancel(place: Place) {
        if (order.remove(place)) end(place, PlaceState.CANCELLED, now().monotonicNanos)
        waiting = order.size
    }

    /** Time in which this node starts what waits, by its recent rate of starts. */
    @Synchronized
    public fun expectedWait(): Duration = expectedWait(now().monotonicNanos)

    private fun expectedWait(nanos: Long) =
        (order.size / rate.perSecond(nanos) * NANOS_PER_SECOND).toLong().nanoseconds

    private fun startWaiting(nanos: Long) {
        order.markLate(nanos)
        while (true) {
            val place = order.first(PROBED_PLACES).firstOrNull { it.tryStart() } ?: return
            order.started(place)
            rate.started(nanos)
            end(place, PlaceState.STARTED, nanos)
        }
    }

    private fun refuseHopeless(newest: Place, nanos: Long) {
        while (true) {
            val last = order.last()?.takeIf { it.claim.level != Claim.RESUMED } ?: return
            val startsAt = nanos + expectedWait(nanos).inWholeNanoseconds
            if (last.claim.endNanos - startsAt >= 0) return
            order.remove(last)
            val state = if (last === newest) PlaceState.REFUSED else PlaceState.DISPLACED
            end(last, state, nanos)
        }
    }

    private fun end(place: Place, state: PlaceState, nanos: Long) {
        place.end(state)
        onEnd(place, (nanos - place.joinedNanos).nanoseconds)
    }

    private companion object {
        /** A first place with few servers left to try must not hold up the rest. */
        const val PROBED_PLACES = 4
        const val NANOS_PER_SECOND = 1e9
    }
}
