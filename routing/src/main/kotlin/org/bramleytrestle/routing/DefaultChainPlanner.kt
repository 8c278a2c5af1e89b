package org.bramleytrestle.routing

import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.settings.SettingsState

/**
 * Samples a few chains that were prepared when the snapshot was published and takes the cheapest of
 * them. Sampling keeps nodes that work from equally stale reports from all choosing the same server
 * (herding).
 *
 * @param subset selects the servers that this node uses; null means all.
 * @param hints supplies prefix cache hints; called on every publish.
 * @param random seeds the sampling.
 */
public class DefaultChainPlanner(
    private val subset: ServerSubset? = null,
    private val hints: () -> PrefixHints = { PrefixHints.NONE },
    random: Random = Random.Default
) : ChainPlanner {
    private class Published(
        val fleet: FleetIndex,
        val hints: PrefixHints,
        val groups: Map<GroupKey, PreparedGroup>
    )

    private val random = ConcurrentRandom(random)

    /** Read and changed only while publishing; decisions use [PlanningServer.recentChoices]. */
    private val recentChoices = HashMap<InstanceId, RecentChoices>()
    private val published = AtomicReference(
        prepare(RoutingSnapshot(SettingsState.EMPTY, emptyMap(), emptyMap()))
    )

    override val snapshot: RoutingSnapshot get() = published.get().fleet.snapshot

    @Synchronized
    override fun publish(next: RoutingSnapshot) {
        if (recentChoices.size > next.servers.size) recentChoices.keys.retainAll(next.servers.keys)
        published.set(prepare(next))
    }

    override fun choose(query: ChainQuery): ChainPlan? {
        val current = published.get()
        val group = current.groups[GroupKey.of(query)] ?: return null
        val holders = query.prefixHash?.let { current.hints.holders(it) }.orEmpty()
        val costs = QueryCosts(query, current.fleet.links, current.fleet.localDataCentre, holders)
        val chosen = sampleCheapest(group, costs)
            ?.let { substituteHolders(group.group, it, holders, costs) }
            ?: group.search.session(costs).cheapestChain()?.let { CandidateChain(it) }
            ?: return null
        for (hop in chosen.plannedHops) hop.server.recentChoices.record()
        return costs.plan(chosen)
    }

    override fun hasChain(query: ChainQuery): Boolean =
        published.get().fleet.groups[GroupKey.of(query)]?.covers(query) ?: false

    /** The cheapest of [SAMPLES] prepared chains, or null if none of them may be used now. */
    private fun sampleCheapest(group: PreparedGroup, costs: QueryCosts): CandidateChain? {
        if (group.candidates.isEmpty()) return null
        var best: CandidateChain? = null
        var bestMicros = Double.POSITIVE_INFINITY
        repeat(SAMPLES) {
            val candidate = group.candidates[random.nextInt(group.candidates.size)]
            val micros = costs.micros(candidate.plannedHops)
            if (micros < bestMicros) {
                best = candidate
                bestMicros = micros
            }
        }
        return best
    }

    /** Replaces servers of the chain by holders of the prompt prefix where that lowers the cost. */
    private fun substituteHolders(
        group: ServerGroup,
        chosen: CandidateChain,
        holders: List<InstanceId>,
        costs: QueryCosts
    ): CandidateChain {
        if (holders.isEmpty()) return chosen
        var best = chosen.plannedHops
        var bestMicros = costs.micros(best)
        for (holder in holders.takeLast(MAX_HOLDERS)) {
            val server = group.server(holder) ?: continue
            for (index in best.indices) {
                if (!server.canReplace(index, best)) continue
                val replaced = best.copyOf()
                replaced[index] = PlannedHop(server, best[index].layers)
                val micros = costs.micros(replaced)
                if (micros < bestMicros) {
                    best = replaced
                    bestMicros = micros
                }
            }
        }
        return if (best === chosen.plannedHops) chosen else CandidateChain(best)
    }

    private fun PlanningServer.canReplace(index: Int, chain: Array<PlannedHop>): Boolean =
        chain[index].layers.let { it.from >= heldLayers.from && it.until <= heldLayers.until } &&
            chain.none { it.server === this }

    private fun prepare(next: RoutingSnapshot): Published {
        val fleet = FleetIndex(next, subset) { recentChoices[it] ?: addChoices(it) }
        return Published(
            fleet = fleet,
            hints = hints(),
            groups = fleet.groups.mapValues {
                PreparedGroup(it.value, fleet.localDataCentre, random)
            }
        )
    }

    private fun addChoices(id: InstanceId) = RecentChoices().also { recentChoices[id] = it }

    private companion object {
        const val SAMPLES = 2

        /** Bounds the cost of a decision when very many instances hold the prefix. */
        const val MAX_HOLDERS = 8
    }
}
