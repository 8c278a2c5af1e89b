package org.bramleytrestle.serving

import kotlin.math.floor
import org.bramleytrestle.model.LayerRange

/**
 * Decides which layers each server holds.
 *
 * Every token crosses every layer, and links between data centres carry far less than one crossing
 * per request needs. Each data centre with enough memory therefore holds the whole model; the
 * servers of the other data centres form one group that spans data centres.
 *
 * A group holds the number of copies with the most room for requests: further copies take memory
 * from the requests of the others. The fastest accelerators form the first copy, because a short
 * chain of fast servers has the fewest streams in flight and is the least likely to contain a
 * server that fails. A chain may cross from one copy to another at any layer, so layers that are
 * held several times replace each other without a load of weights.
 *
 * A plan keeps what servers hold already, because a load takes seconds and is billed. Empty servers
 * get the layers that fewest servers hold. For layers that no server holds, servers next to the gap
 * extend their range, then servers whose layers are all held elsewhere move. Only a group that
 * still has gaps is planned from scratch.
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
        val groups = complete.toMutableList()
        val rest = partial.flatten()
        when {
            rest.isEmpty() -> Unit
            layerCapacity(rest, minTokens) >= layerCount || groups.isEmpty() -> groups += rest
            else -> groups[0] = groups[0] + rest
        }
        return groups
    }

    private fun planGroup(group: List<PlacedServer>, mayReplace: Boolean): Map<String, LayerRange> {
        val held = group.mapNotNull { server -> server.held?.let { server.id to it } }.toMap()
        if (held.isEmpty()) return planFromScratch(group)
        val tokens = repairTokens(group)
        val filled = fillIdle(group, held, tokens)
        val minimum = maxOf(minTokens, tokens * REPAIR_TOKEN_SHARE)
        val extended = extendIntoGaps(group, filled, minimum)
        val repaired = moveRedundant(group, extended, minimum)
        val keep = gaps(repaired.values).isEmpty() || !mayReplace
        return if (keep) repaired else planFromScratch(group).ifEmpty { repaired }
    }

    /**
     * Plans for empty servers: copies one after another, fast accelerators first. The servers left
     * over after the last whole copy hold its first layers once more.
     */
    private fun planFromScratch(group: List<PlacedServer>): Map<String, LayerRange> {
        val tokens = tokensPerServer(group)
        val copies = packCopies(group, tokens)
        if (copies.isEmpty()) return emptyMap()
        val plan = mutableMapOf<String, LayerRange>()
        for (members in copies) {
            var next = 0
            for ((server, count) in members.sortedBy { it.first.dataCentre }) {
                plan[server.id] = LayerRange(next, next + count)
                next += count
            }
        }
        return fillIdle(group, plan, tokens)
    }

    /**
     * The whole copies that fit if servers keep memory for [tokens], with the number of layers on
     * each server. If there may be several, the last server of a copy is the one with the least
     * memory that suffices.
     */
    private fun packCopies(
        group: List<PlacedServer>,
        tokens: Double
    ): List<List<Pair<PlacedServer, Int>>> {
        val free = group.map { it to layerCapacity(it, tokens) }.filter { it.second > 0 }
            .sortedWith(compareBy(BY_SPEED) { it.first }).toMutableList()
        val several = isOneCentre(group) && free.sumOf { it.second } >= 2 * layerCount
        val copies = mutableListOf<List<Pair<PlacedServer, Int>>>()
        while (true) {
            val copy = mutableListOf<Pair<PlacedServer, Int>>()
            var missing = layerCount
            while (missing > 0) {
                val next = free.firstOrNull() ?: return copies
                val completes = next.second >= missing
                val (server, count) = if (several && completes) {
                    free.filter { it.second >= missing }.minBy { it.second }
                } else {
                    next
                }
                free.removeIf { it.first === server }
                copy += server to minOf(count, missing)
                missing -= minOf(count, missing)
            }
            copies += copy
        }
    }

    /** Gives each server without layers the range whose layers fewest servers hold. */
    private fun fillIdle(
        group: List<PlacedServer>,
        held: Map<String, LayerRange>,
        tokens: Double
    ): Map<String, LayerRange> {
        val plan = held.toMutableMap()
        val holders = holdersPerLayer(held.values)
        for (server in group.filter { it.id !in held }.sortedWith(BY_SPEED)) {
            val count = layerCapacity(server, tokens)
            if (count <= 0) continue
            val range = scarcestRange(plan.values, holders, count)
            plan[server.id] = range
            for (layer in range.from until range.until) holders[layer]++
        }
        return plan
    }

    /**
     * The range of [count] layers with the fewest holders. It starts or ends where another range
     * does, so that chains can switch between the two holders of a layer there.
     */
    private fun scarcestRange(
        ranges: Collection<LayerRange>,
        holders: IntArray,
        count: Int
    ): LayerRange {
        val boundaries = ranges.flatMap { listOf(it.from, it.until) } + listOf(0, layerCount)
        return boundaries.flatMap { listOf(it, it - count) }
            .map { it.coerceIn(0, layerCount - count) }
            .distinct()
            .map { LayerRange(it, it + count) }
            .minWith(compareByDescending<LayerRange> { needFor(it, holders) }.thenBy { it.from })
    }

    /** Weighs layers by how few servers hold them; one without a holder outweighs all others. */
    private fun needFor(range: LayerRange, holders: IntArray): Double =
        (range.from until range.until).sumOf { 1.0 / (1 + holders[it] * layerCount) }

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

    /** Moves servers whose layers are all held elsewhere into the gaps, slow ones first. */
    private fun moveRedundant(
        group: List<PlacedServer>,
        held: Map<String, LayerRange>,
        tokens: Double
    ): Map<String, LayerRange> {
        val plan = held.toMutableMap()
        while (true) {
            val gap = gaps(plan.values).firstOrNull() ?: return plan
            val holders = holdersPerLayer(plan.values)
            val server = group.sortedWith(BY_SPEED.reversed()).firstOrNull { candidate ->
                val range = plan[candidate.id]
                range != null && layerCapacity(candidate, tokens) > 0 &&
                    (range.from until range.until).all { holders[it] > 1 }
            } ?: return plan
            val count = minOf(gap.size, layerCapacity(server, tokens))
            plan[server.id] = LayerRange(gap.from, gap.from + count)
        }
    }

    private fun holdersPerLayer(ranges: Collection<LayerRange>): IntArray {
        val holders = IntArray(layerCount)
        for (range in ranges) {
            for (layer in range.from until minOf(range.until, layerCount)) holders[layer]++
        }
        return holders
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

    /**
     * Number of cached tokens for which servers keep memory. In a group with enough memory it is
     * [TARGET_REQUESTS] of average size, or less if its copies then hold more requests in total. A
     * group with one copy keeps a little less if more layers fit that way, which replace others.
     */
    private fun tokensPerServer(group: List<PlacedServer>): Double {
        val target = model.meanTokens * TARGET_REQUESTS
        val most = maxTokensPerServer(group) * MAX_TOKENS_SHARE
        if (most <= target) return most
        if (mayHoldSeveral(group)) {
            val candidates = List(COPY_CANDIDATES) { target * (1 - it * COPY_CANDIDATE_STEP) }
            return candidates.maxBy { packCopies(group, it).size * it }
        }
        val candidates = List(TOKEN_CANDIDATES) { target * (1 - it * TOKEN_CANDIDATE_STEP) }
        return candidates.maxBy { tokens ->
            layerCapacity(group, tokens) * (model.layerMegabytes + tokens * cachePerLayer)
        }
    }

    /**
     * Like [tokensPerServer] for servers that return to a group with several copies: they fit into
     * the gaps that they left if they keep as much memory for requests as the others do.
     */
    private fun repairTokens(group: List<PlacedServer>): Double {
        val planned = tokensPerServer(group)
        if (!mayHoldSeveral(group)) return planned
        return minOf(planned, maxOf(tokensKept(group), leastTokens))
    }

    private fun mayHoldSeveral(group: List<PlacedServer>) =
        isOneCentre(group) && packCopies(group, leastTokens).size > 1

    /** Cached tokens that servers of a group with several copies keep memory for at least. */
    private val leastTokens: Double
        get() = model.meanTokens * TARGET_REQUESTS * (1 - COPY_CANDIDATES * COPY_CANDIDATE_STEP)

    /** Copies that span data centres hold what links carry, so more of them make no room. */
    private fun isOneCentre(group: List<PlacedServer>) = group.all {
        it.dataCentre == group.first().dataCentre
    }

    /** Cached tokens for which most servers have memory beside the layers that they hold. */
    private fun tokensKept(group: List<PlacedServer>): Double {
        val kept = group.mapNotNull { server ->
            server.held?.let { server.megabytes / it.size - model.layerMegabytes }
        }.sorted()
        return kept.getOrElse(kept.size / KEPT_QUANTILE) { Double.MAX_VALUE } / cachePerLayer
    }

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

    private val cachePerLayer get() = model.cacheMegabytesPerLayer

    private val minTokens get() = model.meanTokens * MIN_REQUESTS

    private companion object {
        val BY_SPEED: Comparator<PlacedServer> =
            compareBy({ it.stepTimeFactor }, { -it.megabytes }, { it.id })

        /**
         * Concurrent requests for which a copy keeps memory. Memory beyond that serves further
         * copies, which replace each other when a server fails.
         */
        const val TARGET_REQUESTS = 125.0

        /** Candidates down to 85% of the target, whose rounding losses are compared. */
        const val TOKEN_CANDIDATES = 6
        const val TOKEN_CANDIDATE_STEP = 0.03

        /** Candidates down to two thirds of the target, for a further copy. */
        const val COPY_CANDIDATES = 35
        const val COPY_CANDIDATE_STEP = 0.01

        /** The lower quartile passes over servers that a repair has filled further. */
        const val KEPT_QUANTILE = 4

        /**
         * Share of the largest possible cache that a new plan provides. The rest of the memory lets
         * fast accelerators run more layers and leaves some servers spare.
         */
        const val MAX_TOKENS_SHARE = 0.9

        /** Concurrent requests that a server must hold to be useful in a chain. */
        const val MIN_REQUESTS = 12.0

        /**
         * Share of the planned cache that a repaired plan keeps. If gaps remain with it, the group
         * may be planned from scratch.
         */
        const val REPAIR_TOKEN_SHARE = 0.6
        const val SEARCH_STEPS = 40
    }
}
