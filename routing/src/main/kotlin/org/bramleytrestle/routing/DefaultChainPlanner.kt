package org.bramleytrestle.routing

import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.settings.SettingsState

/**
 * Samples chains that were prepared when the snapshot was published and takes the cheapest, so
 * that nodes with equally old reports don't all choose the same server.
 *
 * @param subset the servers that this node uses; null means all.
 * @param hints read at every publish.
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

    private val draws = ConcurrentRandom(random)

    /** Only the publisher looks servers up here; decisions reach the counts through the fleet. */
    private val recent = HashMap<InstanceId, RecentChoices>()
    private val published = AtomicReference(
        prepare(RoutingSnapshot(SettingsState.EMPTY, emptyMap(), emptyMap()))
    )

    override val snapshot: RoutingSnapshot get() = published.get().fleet.snapshot

    @Synchronized
    override fun publish(next: RoutingSnapshot) {
        if (recent.size > next.servers.size) recent.keys.retainAll(next.servers.keys)
        published.set(prepare(next))
    }

    override fun choose(query: ChainQuery): ChainPlan? {
        val now = published.get()
        val group = now.groups[GroupKey.of(query)] ?: return null
        val holders = query.prefixHash?.let { now.hints.holders(it) }.orEmpty()
        val costs = QueryCosts(query, now.fleet.links, now.fleet.start, holders)
        val chosen = sampled(group, costs)?.let { withHolders(group.group, it, holders, costs) }
            ?: group.search.under(costs).cheapestChain()?.let { Candidate(it) }
            ?: return null
        for (hop in chosen.planned) hop.server.recent.chosen()
        return costs.plan(chosen)
    }

    override fun exists(query: ChainQuery): Boolean =
        published.get().fleet.groups[GroupKey.of(query)]?.covers(query) ?: false

    private fun sampled(group: PreparedGroup, costs: QueryCosts): Candidate? {
        if (group.candidates.isEmpty()) return null
        var best: Candidate? = null
        var bestMicros = Double.POSITIVE_INFINITY
        repeat(SAMPLES) {
            val candidate = group.candidates[draws.below(group.candidates.size)]
            val micros = costs.micros(candidate.planned)
            if (micros < bestMicros) {
                best = candidate
                bestMicros = micros
            }
        }
        return best
    }

    /** Replaces servers of the chain by holders of the prompt prefix where that is cheaper. */
    private fun withHolders(
        group: ServerGroup,
        chosen: Candidate,
        holders: List<InstanceId>,
        costs: QueryCosts
    ): Candidate {
        if (holders.isEmpty()) return chosen
        var best = chosen.planned
        var bestMicros = costs.micros(best)
        for (holder in holders.takeLast(MAX_HOLDERS)) {
            val server = group.server(holder) ?: continue
            for (index in best.indices) {
                if (!server.mayReplace(index, best)) continue
                val replaced = best.copyOf()
                replaced[index] = PlannedHop(server, best[index].layers)
                val micros = costs.micros(replaced)
                if (micros < bestMicros) {
                    best = replaced
                    bestMicros = micros
                }
            }
        }
        return if (best === chosen.planned) chosen else Candidate(best)
    }

    private fun PlanningServer.mayReplace(index: Int, chain: Array<PlannedHop>): Boolean =
        chain[index].layers.let { it.from >= held.from && it.until <= held.until } &&
            chain.none { it.server === this }

    private fun prepare(next: RoutingSnapshot): Published {
        val fleet = FleetIndex(next, subset) { recent[it] ?: newlyKnown(it) }
        return Published(
            fleet = fleet,
            hints = hints(),
            groups = fleet.groups.mapValues { PreparedGroup(it.value, fleet.start, draws) }
        )
    }

    private fun newlyKnown(id: InstanceId) = RecentChoices().also { recent[id] = it }

    private companion object {
        const val SAMPLES = 2

        /** Bounds the cost of a decision for a prefix that very many instances hold. */
        const val MAX_HOLDERS = 8
    }
}
