package org.bramleytrestle.routing

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.settings.SettingsState

/**
 * Takes the servers of each stage in turn and ignores their load. A baseline for comparisons; it
 * never serves callers.
 */
public class RoundRobinPlanner : ChainPlanner {
    private val published = AtomicReference(
        FleetIndex(RoutingSnapshot(SettingsState.EMPTY, emptyMap(), emptyMap()))
    )
    private val turn = AtomicInteger()

    override val snapshot: RoutingSnapshot get() = published.get().snapshot

    override fun publish(next: RoutingSnapshot) {
        published.set(FleetIndex(next))
    }

    override fun choose(query: ChainQuery): ChainPlan? {
        val fleet = published.get()
        val group = fleet.groups[GroupKey.of(query)] ?: return null
        val hops = continued(group, query, 0, turn.getAndIncrement()) ?: return null
        return QueryCosts(query, fleet.links, fleet.start).plan(Candidate(hops))
    }

    override fun exists(query: ChainQuery): Boolean =
        published.get().groups[GroupKey.of(query)]?.covers(query) ?: false

    /** Hops from layer [from] to the end, or null; servers are tried in turn. */
    private fun continued(
        group: ServerGroup,
        query: ChainQuery,
        from: Int,
        turn: Int
    ): List<PlannedHop>? {
        if (from == group.layers) return emptyList()
        val stage = group.servers.filter { from in it.held.from..<it.held.until }
        for (step in stage.indices) {
            val server = stage[Math.floorMod(turn + step, stage.size)]
            if (server.id in query.excluded || !query.hasRoom(server.id)) continue
            val rest = continued(group, query, server.held.until, turn) ?: continue
            return listOf(PlannedHop(server, LayerRange(from, server.held.until))) + rest
        }
        return null
    }
}
