package org.bramleytrestle.routing

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.settings.SettingsState

/**
 * Samples chains that were prepared when the snapshot was published and takes the cheapest, so
 * that nodes with equally old reports don't all choose the same server.
 *
 * @param random seeds the sampling.
 */
public class DefaultChainPlanner(random: Random = Random.Default) : ChainPlanner {
    private class Published(val snapshot: RoutingSnapshot, val fleet: FleetIndex)

    private val draws = ConcurrentRandom(random)
    private val recent = ConcurrentHashMap<InstanceId, RecentChoices>()
    private val published = AtomicReference(
        prepare(RoutingSnapshot(SettingsState.EMPTY, emptyMap(), emptyMap()))
    )

    override val snapshot: RoutingSnapshot get() = published.get().snapshot

    @Synchronized
    override fun publish(next: RoutingSnapshot) {
        recent.keys.retainAll(next.servers.keys)
        published.set(prepare(next))
    }

    override fun choose(query: ChainQuery): ChainPlan? {
        val fleet = published.get().fleet
        val group = fleet.groups[GroupKey.of(query)] ?: return null
        val costs = QueryCosts(query, fleet.links, fleet.start)
        val chosen = sampled(group, costs) ?: searched(group, costs) ?: return null
        chosen.planned.forEach { it.server.recent.chosen() }
        return costs.plan(chosen)
    }

    override fun exists(query: ChainQuery): Boolean {
        val group = published.get().fleet.groups[GroupKey.of(query)] ?: return false
        return group.search.covers { it.id !in query.excluded }
    }

    private fun sampled(group: ServerGroup, costs: QueryCosts): Candidate? {
        if (group.candidates.isEmpty()) return null
        var best: Candidate? = null
        var bestMicros = Double.POSITIVE_INFINITY
        repeat(SAMPLES) {
            val candidate = group.candidates[draws.below(group.candidates.size)]
            val micros = costs.micros(candidate)
            if (micros < bestMicros) {
                best = candidate
                bestMicros = micros
            }
        }
        return best
    }

    private fun searched(group: ServerGroup, costs: QueryCosts): Candidate? =
        group.search.cheapest(costs)?.let { Candidate(it) }

    private fun prepare(next: RoutingSnapshot) = Published(
        snapshot = next,
        fleet = FleetIndex(next) { recent.computeIfAbsent(it) { RecentChoices() } }
    )

    private companion object {
        const val SAMPLES = 2
    }
}
