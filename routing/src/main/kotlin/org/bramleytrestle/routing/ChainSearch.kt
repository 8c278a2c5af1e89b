package org.bramleytrestle.routing

import org.bramleytrestle.model.LayerRange

/**
 * Shortest path over layer boundaries. A state is a boundary and the data centre of the hop that
 * ended there, because the link time of the next hop depends on both of its ends.
 *
 * @param start data centre from which the first hop is called.
 */
internal class ChainSearch(
    private val servers: List<PlanningServer>,
    private val layers: Int,
    private val links: LinkTable,
    private val start: Int
) {
    private val boundaries: IntArray =
        (servers.flatMap { listOf(it.held.from, it.held.until) } + listOf(0, layers))
            .distinct().sorted().toIntArray()
    private val byBoundary: List<List<PlanningServer>> = boundaries.map { boundary ->
        servers.filter { boundary in it.held.from..<it.held.until }
    }
    private val width = links.size

    /** The cheapest chain in order, or null if no allowed servers cover every layer. */
    fun cheapest(cost: HopCost): List<PlannedHop>? {
        val reached = DoubleArray(boundaries.size * width) { Double.POSITIVE_INFINITY }
        val server = arrayOfNulls<PlanningServer>(reached.size)
        val previous = IntArray(reached.size)
        for (from in 0..<boundaries.lastIndex) {
            for (next in byBoundary[from]) {
                val before = cheapestArrival(reached, from, next.dataCentre)
                val arrival = if (from == 0) {
                    links.micros(start, next.dataCentre)
                } else {
                    reached[before] + links.micros(before % width, next.dataCentre)
                }
                var until = from + 1
                while (until < boundaries.size && boundaries[until] <= next.held.until) {
                    val total = arrival + cost.micros(next, boundaries[until] - boundaries[from])
                    val state = until * width + next.dataCentre
                    if (total < reached[state]) {
                        reached[state] = total
                        server[state] = next
                        previous[state] = before
                    }
                    until++
                }
            }
        }
        val last = (boundaries.lastIndex * width..<reached.size).minBy { reached[it] }
        if (reached[last].isInfinite()) return null
        return withoutReturns(path(last, server, previous))
    }

    /** Whether servers that [allowed] admits cover every layer. */
    fun covers(allowed: (PlanningServer) -> Boolean): Boolean {
        var covered = 0
        while (covered < layers) {
            val from = boundaries.binarySearch(covered)
            covered = byBoundary[from].filter(allowed).maxOfOrNull { it.held.until } ?: return false
        }
        return true
    }

    private fun cheapestArrival(reached: DoubleArray, boundary: Int, dataCentre: Int): Int {
        var best = boundary * width
        var bestMicros = Double.POSITIVE_INFINITY
        for (state in boundary * width..<(boundary + 1) * width) {
            val micros = reached[state] + links.micros(state % width, dataCentre)
            if (micros < bestMicros) {
                best = state
                bestMicros = micros
            }
        }
        return best
    }

    private fun path(
        last: Int,
        server: Array<PlanningServer?>,
        previous: IntArray
    ): List<PlannedHop> {
        val hops = ArrayDeque<PlannedHop>()
        var state = last
        while (state >= width) {
            val from = previous[state]
            val range = LayerRange(boundaries[from / width], boundaries[state / width])
            hops.addFirst(PlannedHop(checkNotNull(server[state]), range))
            state = from
        }
        return hops
    }

    /**
     * Merges hops that return to a server into one hop there. An engine keeps one position per
     * request, so it can't be two stages of one chain; it holds all layers between its two hops.
     */
    private fun withoutReturns(hops: List<PlannedHop>): List<PlannedHop> {
        val merged = ArrayList<PlannedHop>()
        var index = 0
        while (index < hops.size) {
            val hop = hops[index]
            val last = hops.indexOfLast { it.server === hop.server }
            val range = LayerRange(hop.layers.from, hops[last].layers.until)
            merged += PlannedHop(hop.server, range)
            index = last + 1
        }
        return merged
    }
}
