package org.bramleytrestle.routing

/** A [ServerGroup] with chains prepared off the request path. */
internal class PreparedGroup(
    val group: ServerGroup,
    start: Int,
    private val draws: ConcurrentRandom
) {
    val search: ChainSearch = ChainSearch(group, start)

    /** Every chain is as likely to be sampled as another; good chains occur more than once. */
    val candidates: Array<Candidate> = prepare()

    /**
     * Spreads the work of the planning horizon over the servers as virtual attempts, each assigned
     * to the cheapest chain after the ones before it. Servers then occur in the chains in
     * proportion to what they can do within the horizon after their queue.
     *
     * The random offsets make a server that can do a third of a virtual attempt occur in a third
     * of the rebuilds, and make nodes with the same reports differ.
     */
    private fun prepare(): Array<Candidate> {
        val count = (group.servers.size * CHAINS_PER_SERVER).toInt()
            .coerceIn(MIN_CANDIDATES, MAX_CANDIDATES)
        val weight = HORIZON_MICROS * stepRate() / count
        val assigned = DoubleArray(group.servers.size) {
            val server = group.servers[it]
            val work = weight * server.microsPerLayer * server.held.size / server.slots
            draws.fraction() * work
        }
        val cost = HopCost { server, layers ->
            server.queueMicros + server.microsPerLayer * layers + assigned[server.index]
        }
        val session = search.under(cost, LINK_WEIGHT)
        val chains = ArrayList<Candidate>(count)
        repeat(count) {
            val chain = session.cheapestChain() ?: return emptyArray()
            for ((server, layers) in chain) {
                assigned[server.index] +=
                    weight * server.microsPerLayer * layers.size / server.slots
                session.changed(server)
            }
            chains += Candidate(chain)
        }
        return chains.toTypedArray()
    }

    /** Upper bound of the steps of whole chains per microsecond: all servers always busy. */
    private fun stepRate(): Double =
        group.servers.sumOf { it.slots / it.microsPerLayer } / group.layers

    private companion object {
        /** Half a chain per server: more follows the old queues closer, so that they oscillate. */
        const val CHAINS_PER_SERVER = 0.5
        const val MIN_CANDIDATES = 16

        /** Bounds a rebuild; the random offsets let all servers of a large group take turns. */
        const val MAX_CANDIDATES = 96

        /** Twice the report interval: the work that arrives before new reports take effect. */
        const val HORIZON_MICROS = 1_000_000.0

        /**
         * Rounding to whole virtual attempts otherwise sends chains back and forth: with 20 ms
         * links a chain of 4 hops over 40 servers crossed 1.26 of them instead of 0.38.
         */
        const val LINK_WEIGHT = 10.0
    }
}
