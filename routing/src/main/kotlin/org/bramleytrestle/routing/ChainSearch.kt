package org.bramleytrestle.routing

import org.bramleytrestle.model.LayerRange

/**
 * Shortest path over layer boundaries. A state is a boundary and the data centre of the hop that
 * ended there, because the link time of the next hop depends on both of its ends.
 *
 * @param start data centre from which the first hop is called.
 */
internal class ChainSearch(private val group: ServerGroup, private val start: Int) {
    private val links = group.links
    private val width = links.size
    private val places = group.servers.groupBy { Place(it.held, it.dataCentre) }
    private val boundaries: IntArray =
        (places.keys.flatMap { listOf(it.held.from, it.held.until) } + listOf(0, group.layers))
            .distinct().sorted().toIntArray()
    private val cells: List<ServerCell> = places.entries.mapIndexed { number, (place, servers) ->
        ServerCell(
            number = number,
            servers = servers.toTypedArray(),
            held = place.held,
            dataCentre = place.dataCentre,
            lastBoundary = boundaries.binarySearch(place.held.until)
        )
    }
    private val byBoundary: Array<Array<ServerCell>> = Array(boundaries.size) { boundary ->
        cells.filter { boundaries[boundary] in it.held.from..<it.held.until }.toTypedArray()
    }
    private val cellOf: Array<ServerCell?> = arrayOfNulls<ServerCell>(group.servers.size).also {
        for (cell in cells) for (server in cell.servers) it[server.index] = cell
    }

    private data class Place(val held: LayerRange, val dataCentre: Int)

    /**
     * Searches with [cost]; a later search reuses what did not change.
     *
     * @param linkWeight multiplies the link times between hops.
     */
    fun under(cost: HopCost, linkWeight: Double = 1.0): Session =
        Session(CheapestServers(cells, cost), linkWeight)

    inner class Session(private val cheapest: CheapestServers, private val linkWeight: Double) {
        private val reached = DoubleArray(boundaries.size * width)
        private val cell = arrayOfNulls<ServerCell>(reached.size)
        private val previous = IntArray(reached.size)
        private val arrival = DoubleArray(width)
        private val before = IntArray(width)

        /** The cheapest chain in order, or null if no allowed servers cover every layer. */
        fun cheapestChain(): List<PlannedHop>? {
            reached.fill(Double.POSITIVE_INFINITY)
            for (from in 0..<boundaries.lastIndex) {
                arrive(from)
                for (next in byBoundary[from]) extend(from, next)
            }
            val last = (boundaries.lastIndex * width..<reached.size).minBy { reached[it] }
            return if (reached[last].isInfinite()) null else withoutReturns(path(last))
        }

        /** The cost of [server] changed. */
        fun changed(server: PlanningServer) = cheapest.changed(checkNotNull(cellOf[server.index]))

        /** Fills the cost of reaching each data centre once the layers before [from] are done. */
        private fun arrive(from: Int) {
            if (from == 0) {
                links.row(start).copyInto(arrival)
                return
            }
            arrival.fill(Double.POSITIVE_INFINITY)
            for (state in from * width..<(from + 1) * width) {
                val micros = reached[state]
                if (micros == Double.POSITIVE_INFINITY) continue
                val row = links.row(state - from * width)
                for (to in row.indices) {
                    val total = micros + row[to] * linkWeight
                    if (total < arrival[to]) {
                        arrival[to] = total
                        before[to] = state
                    }
                }
            }
        }

        private fun extend(from: Int, next: ServerCell) {
            val at = arrival[next.dataCentre]
            if (at.isInfinite()) return
            for (until in from + 1..next.lastBoundary) {
                val total = at + cheapest.micros(next, boundaries[until] - boundaries[from])
                val state = until * width + next.dataCentre
                if (total < reached[state]) {
                    reached[state] = total
                    cell[state] = next
                    previous[state] = if (from == 0) 0 else before[next.dataCentre]
                }
            }
        }

        private fun path(last: Int): List<PlannedHop> {
            val hops = ArrayDeque<PlannedHop>()
            var state = last
            while (state >= width) {
                val from = previous[state]
                val range = LayerRange(boundaries[from / width], boundaries[state / width])
                val server = cheapest.server(checkNotNull(cell[state]), range.size)
                hops.addFirst(PlannedHop(server, range))
                state = from
            }
            return hops
        }
    }

    /**
     * Merges hops that return to a server into one hop there. An engine keeps one position per
     * request, so it can't be two stages of one chain; it holds all layers between its two hops.
     */
    private fun withoutReturns(hops: List<PlannedHop>): List<PlannedHop> {
        val merged = ArrayList<PlannedHop>(hops.size)
        var index = 0
        while (index < hops.size) {
            val hop = hops[index]
            val last = hops.indexOfLast { it.server === hop.server }
            val range = LayerRange(hop.layers.from, hops[last].layers.until)
            merged += if (last == index) hop else PlannedHop(hop.server, range)
            index = last + 1
        }
        return merged
    }
}
