package org.bramleytrestle.routing

/** A [ServerGroup] with candidate chains computed on publish, off the request path. */
internal class PreparedGroup(
    val group: ServerGroup,
    localDataCentre: Int,
    private val random: ConcurrentRandom
) {
    val search: ChainSearch = ChainSearch(group, localDataCentre)

    /** Chains to sample with equal probability; a cheap chain may occur several times. */
    val candidates: Array<CandidateChain> = prepare()

    /**
     * Distributes the work of the planning horizon over the servers as virtual attempts. Each is
     * assigned to the chain that is cheapest given the earlier assignments, so servers occur in the
     * chains in proportion to the capacity they have left within the horizon after their queue.
     *
     * Each server starts with a random offset. A server with capacity for a third of a virtual
     * attempt thus occurs in a third of the rebuilds, and nodes with the same reports get different
     * chains.
     */
    private fun prepare(): Array<CandidateChain> {
        val count = (group.servers.size * CHAINS_PER_SERVER).toInt()
            .coerceIn(MIN_CANDIDATES, MAX_CANDIDATES)
        val weight = HORIZON_MICROS * stepRate() / count
        val assigned = DoubleArray(group.servers.size) {
            val server = group.servers[it]
            val work = weight * server.microsPerLayer * server.heldLayers.size / server.slots
            random.nextDouble() * work
        }
        val cost = HopCost { server, layers ->
            server.queueMicros + server.microsPerLayer * layers + assigned[server.index]
        }
        val session = search.session(cost, LINK_WEIGHT)
        val chains = ArrayList<CandidateChain>(count)
        repeat(count) {
            val chain = session.cheapestChain() ?: return emptyArray()
            for ((server, layers) in chain) {
                assigned[server.index] +=
                    weight * server.microsPerLayer * layers.size / server.slots
                session.invalidate(server)
            }
            chains += CandidateChain(chain)
        }
        return chains.toTypedArray()
    }

    /** Upper bound on chain steps per microsecond, reached if all servers are always busy. */
    private fun stepRate(): Double =
        group.servers.sumOf { it.slots / it.microsPerLayer } / group.layers

    private companion object {
        /** With more chains than one per two servers, load follows stale queues and oscillates. */
        const val CHAINS_PER_SERVER = 0.5
        const val MIN_CANDIDATES = 16

        /** Bounds the rebuild time; the random offsets rotate the servers of larger groups. */
        const val MAX_CANDIDATES = 96

        /** Twice the report interval, which covers work that arrives before new reports apply. */
        const val HORIZON_MICROS = 1_000_000.0

        /**
         * Without the extra weight, rounding to whole virtual attempts makes chains cross links
         * needlessly: with 20 ms links, a chain of 4 hops over 40 servers crossed 1.26 links on
         * average instead of 0.38.
         */
        const val LINK_WEIGHT = 10.0
    }
}
