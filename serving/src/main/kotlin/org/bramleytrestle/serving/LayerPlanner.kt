package org.bramleytrestle.serving

import kotlin.math.floor
import org.bramleytrestle.model.LayerRange

/**
 * Decides which layers each server holds.
 *
 * Load pattern: every token crosses every layer, and links between data centres carry far less than
 * one crossing per request needs. Each data centre that has the memory therefore holds the whole
 * model; servers of the others form groups across data centres. A plan keeps what servers hold
 * already, as a load takes seconds and is paid for: idle servers fill gaps first, then servers next
 * to a gap grow, and only a group that cannot be completed so is placed anew.
 */
public class LayerPlanner(private val model: ModelProfile) {
    private val whole = model.layers

    /**
     * Places the model on [servers].
     *
     * @param mayReplace whether a group that cannot be completed otherwise is placed anew, which
     * ends all service of the group for the time of the loads.
     */
    public fun plan(servers: List<PlacedServer>, mayReplace: Boolean = true): LayerPlan {
        val layers = mutableMapOf<String, LayerRange>()
        var complete = true
        for (group in groups(servers.sortedBy { it.id })) {
            val planned = planGroup(group, mayReplace)
            layers += planned
            complete = complete && gaps(planned.values).isEmpty()
        }
        return LayerPlan(layers, complete)
    }

    private fun groups(servers: List<PlacedServer>): List<List<PlacedServer>> {
        val centres = servers.groupBy { it.dataCentre }.toSortedMap().values
        val (complete, partial) = centres.partition { layersWith(it, minimumTokens) >= whole }
        val groups = complete.flatMap(::split).toMutableList()
        val rest = partial.flatten()
        when {
            rest.isEmpty() -> Unit
            layersWith(rest, minimumTokens) >= whole || groups.isEmpty() -> groups += rest
            else -> groups[0] = groups[0] + rest
        }
        return groups
    }

    /** Divides a group that could hold the model several times over, cards of a kind evenly. */
    private fun split(group: List<PlacedServer>): List<List<PlacedServer>> {
        val copies = group.sumOf { it.megabytes } / (whole * model.layerMegabytes * MEMORY_PER_COPY)
        val count = copies.toInt()
        if (count <= 1) return listOf(group)
        val parts = List(count) { mutableListOf<PlacedServer>() }
        group.sortedByDescending { it.megabytes }.forEach { server ->
            parts.minBy { part -> part.sumOf { it.megabytes } } += server
        }
        return if (parts.all { layersWith(it, minimumTokens) >= whole }) parts else listOf(group)
    }

    private fun planGroup(group: List<PlacedServer>, mayReplace: Boolean): Map<String, LayerRange> {
        val held = group.mapNotNull { server -> server.held?.let { server.id to it } }.toMap()
        if (held.isEmpty()) return fresh(group)
        val tokens = maxOf(minimumTokens, largestRoom(group) * SHARE_FOR_REPAIR)
        val filled = grow(group, fillFromIdle(group, held, tokens), tokens)
        val keep = gaps(filled.values).isEmpty() || !mayReplace
        return if (keep) filled else fresh(group).ifEmpty { filled }
    }

    /** A plan for empty servers: fast cards first, each with the same room for requests. */
    private fun fresh(group: List<PlacedServer>): Map<String, LayerRange> {
        val tokens = largestRoom(group) * SHARE_OF_LARGEST_ROOM
        val plan = mutableMapOf<String, LayerRange>()
        val chosen = mutableListOf<Pair<PlacedServer, Int>>()
        var missing = whole
        for (server in group.sortedWith(compareBy({ it.pace }, { -it.megabytes }, { it.id }))) {
            val count = minOf(missing, capacity(server, tokens))
            if (count <= 0) continue
            chosen += server to count
            missing -= count
        }
        if (missing > 0) return emptyMap()
        var next = 0
        for ((server, count) in chosen.sortedBy { it.first.dataCentre }) {
            plan[server.id] = LayerRange(next, next + count)
            next += count
        }
        return plan
    }

    private fun fillFromIdle(
        group: List<PlacedServer>,
        held: Map<String, LayerRange>,
        tokens: Double
    ): Map<String, LayerRange> {
        val plan = held.toMutableMap()
        val idle = group.filter { it.id !in held }
            .sortedWith(compareBy({ it.pace }, { -it.megabytes }))
        for (server in idle) {
            val gap = gaps(plan.values).firstOrNull() ?: break
            val count = minOf(gap.size, capacity(server, tokens))
            if (count > 0) plan[server.id] = LayerRange(gap.from, gap.from + count)
        }
        return plan
    }

    private fun grow(
        group: List<PlacedServer>,
        held: Map<String, LayerRange>,
        tokens: Double
    ): Map<String, LayerRange> {
        val plan = held.toMutableMap()
        val servers = group.associateBy { it.id }
        for (gap in gaps(plan.values)) {
            var open = gap
            for ((id, range) in plan.entries.map { it.key to it.value }) {
                val room = capacity(servers.getValue(id), tokens) - range.size
                val step = minOf(room, open.size)
                if (step <= 0) continue
                if (range.until == open.from) {
                    plan[id] = LayerRange(range.from, range.until + step)
                    open = rest(open.from + step, open.until) ?: break
                } else if (range.from == open.until) {
                    plan[id] = LayerRange(range.from - step, range.until)
                    open = rest(open.from, open.until - step) ?: break
                }
            }
        }
        return plan
    }

    private fun rest(from: Int, until: Int) = if (from < until) LayerRange(from, until) else null

    private fun gaps(ranges: Collection<LayerRange>): List<LayerRange> {
        val gaps = mutableListOf<LayerRange>()
        var covered = 0
        for (range in ranges.sortedBy { it.from }) {
            if (range.from > covered) gaps += LayerRange(covered, range.from)
            covered = maxOf(covered, range.until)
        }
        if (covered < whole) gaps += LayerRange(covered, whole)
        return gaps
    }

    /** Layers that [server] holds beside room for [tokens] tokens of running requests. */
    private fun capacity(server: PlacedServer, tokens: Double): Int = minOf(
        whole,
        floor(server.megabytes / (model.layerMegabytes + tokens * model.cacheMegabytesPerLayer))
            .toInt()
    )

    private fun layersWith(group: List<PlacedServer>, tokens: Double) =
        group.sumOf { capacity(it, tokens) }

    private fun largestRoom(group: List<PlacedServer>): Double {
        var low = 0.0
        var high = group.sumOf { it.megabytes } / (whole * model.cacheMegabytesPerLayer)
        repeat(SEARCH_STEPS) {
            val middle = (low + high) / 2
            if (layersWith(group, middle) >= whole) low = middle else high = middle
        }
        return low
    }

    private val minimumTokens get() = model.usualTokens * MINIMUM_REQUESTS

    private companion object {
        /** Memory of a group in weights of the model: the weights and as much for requests. */
        const val MEMORY_PER_COPY = 1.8

        /** Room given up for running more layers on fast cards and for idle spares. */
        const val SHARE_OF_LARGEST_ROOM = 0.9

        /** Requests that a server must hold at once to be worth a place in a chain. */
        const val MINIMUM_REQUESTS = 12.0

        /** Room that a repaired chain keeps; with less, the group is worth placing anew. */
        const val SHARE_FOR_REPAIR = 0.6
        const val SEARCH_STEPS = 40
    }
}
