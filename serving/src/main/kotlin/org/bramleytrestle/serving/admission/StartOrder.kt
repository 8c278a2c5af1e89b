package org.bramleytrestle.serving.admission

import java.util.TreeMap
import java.util.TreeSet

/**
 * The order in which waiting work starts.
 *
 * Work that can still meet its caller's target goes before work that is late anyway, more urgent
 * work before less urgent. Within a level, organisations take turns by tokens (start-time fair
 * queueing), so a large one fills what the others leave. A level that waits while
 * [MAX_SKIPS] starts go to more urgent ones has the next turn, so that none starves.
 *
 * Operations take logarithmic time in what waits. Not thread-safe.
 */
internal class StartOrder {
    private class Level {
        val onTime = TreeSet(BY_TAG)
        val late = TreeSet(BY_TAG)
        var virtualTime = 0.0

        /** Virtual time at which the newest work of each organisation would end. */
        val finishTags = HashMap<String?, Double>()

        /** Starts of more urgent work since this level last had a turn. */
        var skips = 0
        val isEmpty get() = onTime.isEmpty() && late.isEmpty()
    }

    private val levels = TreeMap<Int, Level>()
    private val byAim = TreeSet(compareBy<Place>({ it.claim.aimNanos }, { it.sequence }))
    private var arrivals = 0L

    var size = 0
        private set

    fun add(place: Place, nowNanos: Long) {
        val claim = place.claim
        val level = levels.getOrPut(claim.level) { Level() }
        place.sequence = arrivals++
        place.tag = maxOf(level.virtualTime, level.finishTags[claim.organisation] ?: 0.0)
        place.late = claim.aimNanos - nowNanos < 0
        level.finishTags[claim.organisation] = place.tag + claim.tokens
        (if (place.late) level.late else level.onTime).add(place)
        if (!place.late) byAim.add(place)
        size++
    }

    /** Removes work that did not start; false if it does not wait. */
    fun remove(place: Place): Boolean {
        val level = levels[place.claim.level] ?: return false
        if (!take(place, level)) return false
        level.finishTags.computeIfPresent(place.claim.organisation) { _, tag ->
            tag - place.claim.tokens
        }
        return true
    }

    /** Removes [place], which starts. */
    fun started(place: Place) {
        val level = levels[place.claim.level] ?: return
        if (!take(place, level)) return
        level.virtualTime = maxOf(level.virtualTime, place.tag)
        level.skips = 0
        for (other in levels.tailMap(place.claim.level, false).values) {
            if (other.onTime.isNotEmpty()) other.skips++
        }
    }

    private fun take(place: Place, level: Level): Boolean {
        val queue = if (place.late) level.late else level.onTime
        if (!queue.remove(place)) return false
        byAim.remove(place)
        size--
        if (level.isEmpty) levels.remove(place.claim.level)
        return true
    }

    /** Moves work whose aim has passed behind all work that can still meet its own. */
    fun markLate(nowNanos: Long) {
        while (byAim.isNotEmpty()) {
            val place = byAim.first()
            if (place.claim.aimNanos - nowNanos >= 0) return
            byAim.remove(place)
            val level = levels.getValue(place.claim.level)
            level.onTime.remove(place)
            place.late = true
            level.late.add(place)
        }
    }

    /** The first [count] places; one that no server can take must not block the next. */
    fun first(count: Int): List<Place> {
        val skipped = levels.values.filter { it.onTime.isNotEmpty() && it.skips >= MAX_SKIPS }
        val inOrder = skipped.asSequence().map { it.onTime.first() } +
            levels.values.asSequence().flatMap { it.onTime } +
            levels.values.asSequence().flatMap { it.late }
        return inOrder.distinct().take(count).toList()
    }

    /** The place that starts last. */
    fun last(): Place? {
        val late = levels.values.lastOrNull { it.late.isNotEmpty() }
        if (late != null) return late.late.last()
        return levels.values.lastOrNull { it.onTime.isNotEmpty() }?.onTime?.last()
    }

    private companion object {
        val BY_TAG = compareBy<Place>({ it.tag }, { it.claim.aimNanos }, { it.sequence })

        /** Gives waiting work of lower urgency at least a ninth of the starts. */
        const val MAX_SKIPS = 8
    }
}
