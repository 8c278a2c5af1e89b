package org.bramleytrestle.serving

import org.bramleytrestle.model.LayerRange

/**
 * Finds chains over the layers that servers hold, as shortest paths between layer boundaries.
 *
 * The cost of a path is its time per token, because that time determines how many requests a chain
 * can serve. Slow accelerators, hops and especially hops between data centres are therefore
 * expensive. The first searches find chains that share no server, so that the failure of a server
 * affects one of them; those along the copies that [LayerPlanner] formed come first. While there
 * are few, further searches may use servers again at a higher cost.
 */
public class ChainFinder(private val model: ModelProfile) {
    /** Cheapest known path to a layer boundary; [server] runs the layers starting at [from]. */
    private class Path(
        val cost: Double,
        val server: BackendServer?,
        val from: Int,
        val previous: Path?
    ) {
        /** A server can run only one stage of a request. */
        fun uses(candidate: BackendServer): Boolean =
            generateSequence(this) { it.previous }.any { it.server === candidate }
    }

    /** Distinct chains over [servers]; chains within one data centre come first. */
    public fun find(servers: List<BackendServer>): List<Chain> {
        val holders = servers.filter { it.held != null && model.fits(it) }
        val chains = LinkedHashMap<String, Chain>()
        val centres = holders.groupBy { it.dataCentre }.toSortedMap()
        for (centre in centres.values) {
            findDiverseChains(centre).forEach { chains.putIfAbsent(it.label, it) }
        }
        if (chains.size < maxOf(2, centres.size)) {
            findDiverseChains(holders).forEach { chains.putIfAbsent(it.label, it) }
        }
        return chains.values.toList()
    }

    private fun findDiverseChains(servers: List<BackendServer>): List<Chain> {
        // A chain that runs a part of a server's layers may take it from a chain that needs all.
        val isOneCentre = servers.all { it.dataCentre == servers.first().dataCentre }
        val copies = if (isOneCentre) {
            addDisjointChains(emptyList(), servers, wholeRanges = true)
        } else {
            emptyList()
        }
        val disjoint = addDisjointChains(copies.takeIf { it.size > 1 }.orEmpty(), servers)
        val found = LinkedHashMap<String, Chain>()
        for (chain in disjoint) found[chain.label] = chain
        val useCounts = mutableMapOf<String, Int>()
        val countUses = { chain: Chain ->
            for (stage in chain.stages) useCounts.merge(stage.server.id, 1, Int::plus)
        }
        found.values.forEach(countUses)
        repeat(MIN_SEARCHES - found.size) {
            val chain = findCheapestChain(servers, useCounts, wholeRanges = false)
                ?: return found.values.toList()
            found.putIfAbsent(chain.label, chain)
            countUses(chain)
        }
        return found.values.toList()
    }

    /** Adds chains that share no server with another one. */
    private fun addDisjointChains(
        known: List<Chain>,
        servers: List<BackendServer>,
        wholeRanges: Boolean = false
    ): List<Chain> {
        val chains = known.toMutableList()
        while (chains.size < MAX_DISJOINT_CHAINS) {
            val used = chains.flatMapTo(HashSet()) { chain -> chain.stages.map { it.server.id } }
            val unused = servers.filter { it.id !in used }
            chains += findCheapestChain(unused, emptyMap(), wholeRanges) ?: break
        }
        return chains
    }

    private fun findCheapestChain(
        servers: List<BackendServer>,
        useCounts: Map<String, Int>,
        wholeRanges: Boolean
    ): Chain? {
        val boundaries = servers.flatMap { listOf(it.held!!.from, it.held.until) }.toSortedSet()
        // Cheapest path to each boundary, by the data centre of the path's last server.
        val best = List(model.layers + 1) { HashMap<String, Path>() }
        best[0][""] = Path(0.0, null, 0, null)
        for (position in 0 until model.layers) {
            val reached = best[position].values.toList()
            if (reached.isEmpty()) continue
            for (server in servers) {
                val held = server.held!!
                if (position !in held.from until held.until) continue
                if (wholeRanges && position != held.from) continue
                val firstEnd = if (wholeRanges) held.until else position + 1
                for (end in boundaries.subSet(firstEnd, held.until + 1)) {
                    val uses = useCounts[server.id] ?: 0
                    val own = stepMillis(server, end - position) * (1 + REUSE_PENALTY * uses)
                    for (path in reached) {
                        if (path.uses(server)) continue
                        val cost = path.cost + own + hopMillis(path.server, server)
                        val known = best[end][server.dataCentre]
                        if (known == null || cost < known.cost) {
                            best[end][server.dataCentre] = Path(cost, server, position, path)
                        }
                    }
                }
            }
        }
        val end = best[model.layers].values.minByOrNull { it.cost } ?: return null
        return chainOf(end)
    }

    private fun chainOf(end: Path): Chain? {
        val stages = mutableListOf<Stage>()
        var until = model.layers
        var path: Path = end
        while (true) {
            val server = path.server ?: break
            stages.add(0, Stage(server, LayerRange(path.from, until)))
            until = path.from
            path = path.previous ?: break
        }
        if (stages.size > MAX_STAGES) return null
        val time = stages.sumOf { stepMillis(it.server, it.layers.size) } +
            stages.zipWithNext { a, b -> hopMillis(a.server, b.server) }.sum()
        val memoryCapacity = stages.minOf { memoryCapacity(it.server) }
        val capacity =
            minOf(memoryCapacity, linkCapacity(stages, time), stages.first().server.slots)
        return Chain(stages, time, capacity)
    }

    /** Number of average-sized requests whose tokens the links between data centres carry. */
    private fun linkCapacity(stages: List<Stage>, stepMillis: Double): Int {
        val crossings = stages.zipWithNext { a, b ->
            a.server.dataCentre != b.server.dataCentre
        }.count { it }
        if (crossings == 0 || model.crossCentreMegabits <= 0) return Int.MAX_VALUE
        val megabits = crossings * model.activationBytes * model.meanTokens * BITS_PER_BYTE / MEGA
        val perSecond = model.crossCentreMegabits * LINK_SHARE / megabits
        val seconds = stepMillis * model.meanAnswerTokens / MILLIS_PER_SECOND
        return (perSecond * seconds).toInt()
    }

    private fun stepMillis(server: BackendServer, layers: Int): Double =
        model.stepMillis * model.cards.getValue(server.card!!).stepTimeFactor * layers /
            model.layers

    private fun hopMillis(from: BackendServer?, to: BackendServer): Double = when {
        from == null -> 0.0
        from.dataCentre == to.dataCentre -> HOP_MILLIS
        else -> CROSS_DATA_CENTRE_HOP_MILLIS
    }

    /** Number of average-sized requests that fit into the memory left beside the weights. */
    private fun memoryCapacity(server: BackendServer): Int {
        val layers = server.held!!.size
        val free = model.cards.getValue(server.card!!).megabytes - layers * model.layerMegabytes
        return (free / (layers * model.cacheMegabytesPerLayer) / model.meanTokens).toInt()
    }

    private companion object {
        const val MIN_SEARCHES = 4

        /** More than the largest data centre's memory can hold copies. */
        const val MAX_DISJOINT_CHAINS = 12

        /** Longest chain that servers accept. */
        const val MAX_STAGES = 32

        /** Network delay within a data centre plus the wait for the pass that is running. */
        const val HOP_MILLIS = 0.5

        /** Higher than the cost of any detour within a data centre. */
        const val CROSS_DATA_CENTRE_HOP_MILLIS = 8.0
        const val REUSE_PENALTY = 0.5

        /** Part of the link that one chain may fill; several chains cross it at the same time. */
        const val LINK_SHARE = 0.3
        const val BITS_PER_BYTE = 8
        const val MEGA = 1e6
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
