package org.bramleytrestle.routing

/** The servers of one model or plain service on one side, with the chains prepared for them. */
internal class ServerGroup(
    val servers: List<PlanningServer>,
    layers: Int,
    links: LinkTable,
    start: Int
) {
    val search: ChainSearch = ChainSearch(servers, layers, links, start)

    /** Every chain is as likely to be sampled as another; good chains occur more than once. */
    val candidates: Array<Candidate> = prepare()

    /**
     * Assigns virtual attempts one after another, each to the cheapest chain given the work of
     * those before it. Servers then occur in the chains in proportion to their speed.
     */
    private fun prepare(): Array<Candidate> {
        val assigned = DoubleArray(servers.size)
        val cost = HopCost { server, layers ->
            server.queueMicros + server.microsPerLayer * layers + assigned[server.index]
        }
        val chains = ArrayList<Candidate>()
        repeat(servers.size.coerceIn(1, MAX_CANDIDATES)) {
            val chain = search.cheapest(cost) ?: return emptyArray()
            chain.forEach {
                assigned[it.server.index] +=
                    it.server.microsPerLayer * it.layers.size / it.server.slots
            }
            chains += Candidate(chain)
        }
        return chains.toTypedArray()
    }

    private companion object {
        const val MAX_CANDIDATES = 512
    }
}
