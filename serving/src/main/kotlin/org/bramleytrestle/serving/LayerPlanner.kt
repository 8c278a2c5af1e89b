package org.bramleytrestle.serving

import kotlin.math.floor
import org.bramleytrestle.model.LayerRange

/**
 * Decides which layers each server holds.
 *
 * Every token crosses every layer, and links between data centres carry far less than one crossing
 * per request needs. Each data centre with enough memory therefore holds the whole model; the
 * servers of the other data centres form groups that span data centres.
 *
 * A plan keeps what servers hold already, because a load takes seconds and is billed: idle servers
 * fill gaps first, then servers next to a gap extend their range, and only a group that still has
 * gaps is planned from scratch.
 */
public class LayerPlanner(private val model: ModelProfile) {
    private val layerCount = model.layers

    /**
     * Places the model on [servers].
     *
     * @param mayReplace whether a group that cannot be completed otherwise is planned from scratch,
     * which interrupts the service of the group while its servers load.
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
        val (complete, partial) = centres.partition {
            layerCapacity(it, minTokens) >= layerCount
        }
        val groups = complete.flatMap(::split).toMutableList()
        val rest = partial.flatten()
        when {
            rest.isEmpty() -> Unit
            layerCapacity(rest, minTokens) >= layerCount || groups.isEmpty() -> groups += rest
            else -> groups[0] = groups[0] + rest
        }
        return groups
    }

    /** Splits a group that can hold several copies, spreading accelerators of a kind evenly. */
    private fun split(group: List<PlacedServer>): List<List<PlacedServer>> {
        val copies =
            group.sumOf { it.megabytes } / (layerCount * model.layerMegabytes * MEMORY_PER_COPY)
        val count = copies.toInt()
        if (count <= 1) return listOf(group)
        val parts = List(count) { mutableListOf<PlacedServer>() }
        group.sortedByDescending { it.megabytes }.forEach { server ->
            parts.minBy { part -> part.sumOf { it.megabytes } } += server
        }
        val allComplete = parts.all { layerCapacity(it, minTokens) >= layerCount }
        return if (allComplete) parts else listOf(group)
    }

    private fun planGroup(group: List<PlacedServer>, mayReplace: Boolean): Map<String, LayerRange> {
        val held = group.mapNotNull { server -> server.held?.let { server.id to it } }.toMap()
        if (held.isEmpty()) return planFromScratch(group)
        val tokens = maxOf(minTokens, maxTokensPerServer(group) * REPAIR_TOKEN_SHARE)
        val repaired = extendIntoGaps(group, fillFromIdle(group, held, tokens), tokens)
        val keep = gaps(repaired.values).isEmpty() || !mayReplace
        return if (keep) repaired else planFromScratch(group).ifEmpty { repaired }
    }

    /**
     * Plans for empty servers: fast accelerators first, each with cache space for the same number
     * of tokens.
     */
    private fun planFromScratch(group: List<PlacedServer>): Map<String, LayerRange> {
        val tokens = maxTokensPerServer(group) * MAX_TOKENS_SHARE
        val plan = mutableMapOf<String, LayerRange>()
        val chosen = mutableListOf<Pair<PlacedServer, Int>>()
        var missing = layerCount
        val byPreference =
            group.sortedWith(compareBy({ it.stepTimeFactor }, { -it.megabytes }, { it.id }))
        for (server in byPreference) {
            val count = minOf(missing, layerCapacity(server, tokens))
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
            .sortedWith(compareBy({ it.stepTimeFactor }, { -it.megabytes }))
        for (server in idle) {
            val gap = gaps(plan.values).firstOrNull() ?: break
            val count = minOf(gap.size, layerCapacity(server, tokens))
            if (count > 0) plan[server.id] = LayerRange(gap.from, gap.from + count)
        }
        return plan
    }

    private fun extendIntoGaps(
        group: List<PlacedServer>,
        held: Map<String, LayerRange>,
        tokens: Double
    ): Map<String, LayerRange> {
        val plan = held.toMutableMap()
        val servers = group.associateBy { it.id }
        for (gap in gaps(plan.values)) {
            var open = gap
            for ((id, range) in plan.entries.map { it.key to it.value }) {
                val spare = layerCapacity(servers.getValue(id), tokens) - range.size
                val count = minOf(spare, open.size)
                if (count <= 0) continue
                if (range.until == open.from) {
                    plan[id] = LayerRange(range.from, range.until + count)
                    open = rangeOrNull(open.from + count, open.until) ?: break
                } else if (range.from == open.until) {
                    plan[id] = LayerRange(range.from - count, range.until)
                    open = rangeOrNull(open.from, open.until - count) ?: break
                }
            }
        }
        return plan
    }

    private fun rangeOrNull(from: Int, until: Int) =
        if (from < until) LayerRange(from, until) else null

    private fun gaps(ranges: Collection<LayerRange>): List<LayerRange> {
        val gaps = mutableListOf<LayerRange>()
        var covered = 0
        for (range in ranges.sortedBy { it.from }) {
            if (range.from > covered) gaps += LayerRange(covered, range.from)
            covered = maxOf(covered, range.until)
        }
        if (covered < layerCount) gaps += LayerRange(covered, layerCount)
        return gaps
    }

    /** Number of layers that fit on [server] together with the cache of [tokens] tokens. */
    private fun layerCapacity(server: PlacedServer, tokens: Double): Int = minOf(
        layerCount,
        floor(server.megabytes / (model.layerMegabytes + tokens * model.cacheMegabytesPerLayer))
            .toInt()
    )

    private fun layerCapacity(group: List<PlacedServer>, tokens: Double) =
        group.sumOf { layerCapacity(it, tokens) }

    /** Largest number of cached tokens per server with which [group] still holds all layers. */
    private fun maxTokensPerServer(group: List<PlacedServer>): Double {
        var low = 0.0
        var high = group.sumOf { it.megabytes } / (layerCount * model.cacheMegabytesPerLayer)
        repeat(SEARCH_STEPS) {
            val middle = (low + high) / 2
            if (layerCapacity(group, middle) >= layerCount) low = middle else high = middle
        }
        return low
    }

    private val minTokens get() = model.meanTokens * MIN_REQUESTS

    private companion object {
        /** Memory per copy in multiples of the weights, which leaves 0.8 for request caches. */
        const val MEMORY_PER_COPY = 1.8

        /**
         * Share of the largest possible cache that a new plan provides. The rest of the memory lets
         * fast accelerators run more layers and leaves some servers spare.
         */
        const val MAX_TOKENS_SHARE = 0.9

        /** Concurrent requests that a server must hold to be useful in a chain. */
        const val MIN_REQUESTS = 12.0

        /**
         * Share of the largest possible cache that a repaired plan keeps. If gaps remain with it,
         * the group may be planned from scratch.
         */
        const val REPAIR_TOKEN_SHARE = 0.6
        const val SEARCH_STEPS = 40
    }
}
