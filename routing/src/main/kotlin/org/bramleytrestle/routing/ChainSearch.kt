package org.bramleytrestle.routing

import org.bramleytrestle.model.LayerRange

/**
 * Finds the cheapest chain as a shortest path over layer boundaries. A state is a boundary and the
 * data centre of the hop that ends there, because the link time to the next hop depends on the data
 * centres at both ends.
 *
 * @param localDataCentre data centre from which the first hop is called.
 */
internal class ChainSearch(private val group: ServerGroup, private val localDataCentre: Int) {
    private val links = group.links
    private val width = links.size
    private val serversByPlacement =
        group.servers.groupBy { Placement(it.heldLayers, it.dataCentre) }
    private val boundaries: IntArray =
        serversByPlacement.keys.flatMap { listOf(it.heldLayers.from, it.heldLayers.until) }
            .plus(listOf(0, group.layers)).distinct().sorted().toIntArray()
    private val replicaSets = serversByPlacement.entries.mapIndexed { index, (placement, servers) ->
        ReplicaSet(
            index = index,
            servers = servers.toTypedArray(),
            heldLayers = placement.heldLayers,
            dataCentre = placement.dataCentre,
            lastBoundary = boundaries.binarySearch(placement.heldLayers.until)
        )
    }
    private val byBoundary: Array<Array<ReplicaSet>> = Array(boundaries.size) { boundary ->
        replicaSets.filter { boundaries[boundary] in it.heldLayers.from..<it.heldLayers.until }
            .toTypedArray()
    }
    private val replicaSetOf = arrayOfNulls<ReplicaSet>(group.servers.size).also {
        for (replicas in replicaSets) {
            for (server in replicas.servers) it[server.index] = replicas
        }
    }

    private data class Placement(val heldLayers: LayerRange, val dataCentre: Int)

    /**
     * Returns a session for repeated searches with [cost]. A session caches server costs between
     * searches, so a changed cost has to be reported with [Session.invalidate].
     *
     * @param linkWeight factor applied to the link times between hops.
     */
    fun session(cost: HopCost, linkWeight: Double = 1.0): Session =
        Session(CheapestReplicas(replicaSets, cost), linkWeight)

    inner class Session(private val cheapest: CheapestReplicas, private val linkWeight: Double) {
        /** Per state: its lowest cost and the hop and the state that lead to it. */
        private val stateMicros = DoubleArray(boundaries.size * width)
        private val stateReplicas = arrayOfNulls<ReplicaSet>(stateMicros.size)
        private val previousState = IntArray(stateMicros.size)

        /** Per data centre: the lowest cost of calling a hop there, and the state called from. */
        private val arrivalMicros = DoubleArray(width)
        private val arrivalState = IntArray(width)

        /** The cheapest chain, or null if the allowed servers do not cover every layer. */
        fun cheapestChain(): List<PlannedHop>? {
            stateMicros.fill(Double.POSITIVE_INFINITY)
            for (from in 0..<boundaries.lastIndex) {
                computeArrivals(from)
                for (next in byBoundary[from]) relaxHops(from, next)
            }
            val last = (boundaries.lastIndex * width..<stateMicros.size).minBy { stateMicros[it] }
            return if (stateMicros[last].isInfinite()) null else mergeRepeatedServers(path(last))
        }

        /** Discards cached costs after the cost of [server] has changed. */
        fun invalidate(server: PlanningServer) =
            cheapest.invalidate(checkNotNull(replicaSetOf[server.index]))

        /** Computes the cost of reaching each data centre with the layers before [from] done. */
        private fun computeArrivals(from: Int) {
            if (from == 0) {
                links.row(localDataCentre).copyInto(arrivalMicros)
                return
            }
            arrivalMicros.fill(Double.POSITIVE_INFINITY)
            for (state in from * width..<(from + 1) * width) {
                val micros = stateMicros[state]
                if (micros == Double.POSITIVE_INFINITY) continue
                val row = links.row(state - from * width)
                for (to in row.indices) {
                    val total = micros + row[to] * linkWeight
                    if (total < arrivalMicros[to]) {
                        arrivalMicros[to] = total
                        arrivalState[to] = state
                    }
                }
            }
        }

        /** Updates the states that a hop on [next] starting at boundary [from] can end in. */
        private fun relaxHops(from: Int, next: ReplicaSet) {
            val startMicros = arrivalMicros[next.dataCentre]
            if (startMicros.isInfinite()) return
            for (until in from + 1..next.lastBoundary) {
                val layers = boundaries[until] - boundaries[from]
                val total = startMicros + cheapest.micros(next, layers)
                val state = until * width + next.dataCentre
                if (total < stateMicros[state]) {
                    stateMicros[state] = total
                    stateReplicas[state] = next
                    previousState[state] = if (from == 0) 0 else arrivalState[next.dataCentre]
                }
            }
        }

        private fun path(last: Int): List<PlannedHop> {
            val hops = ArrayDeque<PlannedHop>()
            var state = last
            while (state >= width) {
                val from = previousState[state]
                val range = LayerRange(boundaries[from / width], boundaries[state / width])
                val server = cheapest.server(checkNotNull(stateReplicas[state]), range.size)
                hops.addFirst(PlannedHop(server, range))
                state = from
            }
            return hops
        }
    }

    /**
     * Merges all hops from the first to the last use of a server into one hop on it. An engine
     * keeps one position per request, so it cannot serve two stages of a chain. It holds all layers
     * between its two hops, because the layers it holds are contiguous.
     */
    private fun mergeRepeatedServers(hops: List<PlannedHop>): List<PlannedHop> {
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
