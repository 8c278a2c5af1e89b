package org.bramleytrestle.serving

import org.bramleytrestle.model.LayerRange

/**
 * Finds chains over the layers that servers hold, as shortest paths over layer boundaries.
 *
 * Load pattern: the time per token decides how many requests fit, so slow cards, hops and above all
 * crossings between data centres cost. Servers of chains found before cost more in the next search,
 * which yields chains that share few servers.
 */
public class ChainFinder(private val model: ModelProfile) {
    private class Step(val cost: Double, val server: BackendServer?, val from: Int, val last: Step?)

    /** Distinct chains over [servers], those inside one data centre first. */
    public fun find(servers: List<BackendServer>): List<Chain> {
        val holders = servers.filter { it.held != null && it.card in model.cards }
        val chains = LinkedHashMap<String, Chain>()
        val centres = holders.groupBy { it.dataCentre }.toSortedMap()
        for (centre in centres.values) {
            searchApart(centre).forEach { chains.putIfAbsent(it.label, it) }
        }
        if (chains.size < maxOf(2, centres.size)) {
            searchApart(holders).forEach { chains.putIfAbsent(it.label, it) }
        }
        return chains.values.toList()
    }

    private fun searchApart(servers: List<BackendServer>): List<Chain> {
        val used = mutableMapOf<String, Int>()
        val found = LinkedHashMap<String, Chain>()
        repeat(SEARCHES) {
            val chain = search(servers, used) ?: return found.values.toList()
            found.putIfAbsent(chain.label, chain)
            for (stage in chain.stages) used.merge(stage.server.id, 1, Int::plus)
        }
        return found.values.toList()
    }

    private fun search(servers: List<BackendServer>, used: Map<String, Int>): Chain? {
        val cuts = servers.flatMap { listOf(it.held!!.from, it.held.until) }.toSortedSet()
        val best = List(model.layers + 1) { HashMap<String, Step>() }
        best[0][""] = Step(0.0, null, 0, null)
        for (position in 0 until model.layers) {
            val reached = best[position].values.toList()
            if (reached.isEmpty()) continue
            for (server in servers) {
                val held = server.held!!
                if (position !in held.from until held.until) continue
                for (end in cuts.subSet(position + 1, held.until + 1)) {
                    val penalty = used[server.id] ?: 0
                    val own = stepMillis(server, end - position) * (1 + REUSE_PENALTY * penalty)
                    for (step in reached) {
                        val cost = step.cost + own + hopMillis(step.server, server)
                        val known = best[end][server.dataCentre]
                        if (known == null || cost < known.cost) {
                            best[end][server.dataCentre] = Step(cost, server, position, step)
                        }
                    }
                }
            }
        }
        val end = best[model.layers].values.minByOrNull { it.cost } ?: return null
        return chainOf(end)
    }

    private fun chainOf(end: Step): Chain? {
        val stages = mutableListOf<Stage>()
        var until = model.layers
        var step: Step = end
        while (true) {
            val server = step.server ?: break
            stages.add(0, Stage(server, LayerRange(step.from, until)))
            until = step.from
            step = step.last ?: break
        }
        // A server runs one part of a request only.
        if (stages.distinctBy { it.server.id }.size != stages.size) return null
        if (stages.size > MAX_STAGES) return null
        val time = stages.sumOf { stepMillis(it.server, it.layers.size) } +
            stages.zipWithNext { a, b -> hopMillis(a.server, b.server) }.sum()
        val room = stages.minOf { room(it.server) }
        return Chain(stages, time, minOf(room, stages.first().server.slots))
    }

    private fun stepMillis(server: BackendServer, layers: Int): Double =
        model.stepMillis * model.cards.getValue(server.card!!).pace * layers / model.layers

    private fun hopMillis(from: BackendServer?, to: BackendServer): Double = when {
        from == null -> 0.0
        from.dataCentre == to.dataCentre -> HOP_MILLIS
        else -> CROSSING_MILLIS
    }

    /** Requests of usual size for which the server has memory beside its weights. */
    private fun room(server: BackendServer): Int {
        val layers = server.held!!.size
        val free = model.cards.getValue(server.card!!).megabytes - layers * model.layerMegabytes
        return (free / (layers * model.cacheMegabytesPerLayer) / model.usualTokens).toInt()
    }

    private companion object {
        const val SEARCHES = 4

        /** Longest chain that servers accept. */
        const val MAX_STAGES = 32

        /** Delay between two servers of a data centre and the wait for a pass that runs. */
        const val HOP_MILLIS = 0.5

        /** Makes a crossing dearer than any detour inside the data centre. */
        const val CROSSING_MILLIS = 8.0
        const val REUSE_PENALTY = 0.5
    }
}
