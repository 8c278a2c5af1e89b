package org.bramleytrestle.routing

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.settings.SettingsState

/**
 * Uses the servers of each stage in round-robin order and ignores their load. It is a baseline for
 * measurements that a node uses with `RoutingMode.BASELINE`; it is not meant for production.
 */
public class RoundRobinPlanner : ChainPlanner {
    private val published = AtomicReference(
        FleetIndex(RoutingSnapshot(SettingsState.EMPTY, emptyMap(), emptyMap()))
    )
    private val nextOffset = AtomicInteger()

    override val snapshot: RoutingSnapshot get() = published.get().snapshot

    override fun publish(next: RoutingSnapshot) {
        published.set(FleetIndex(next))
    }

    override fun choose(query: ChainQuery): ChainPlan? {
        val fleet = published.get()
        val group = fleet.groups[GroupKey.of(query)] ?: return null
        val hops = completeChain(group, query, 0, nextOffset.getAndIncrement()) ?: return null
        return QueryCosts(query, fleet.links, fleet.localDataCentre).plan(CandidateChain(hops))
    }

    override fun hasChain(query: ChainQuery): Boolean =
        published.get().groups[GroupKey.of(query)]?.covers(query) ?: false

    /** Hops from layer [from] to the last one, or null; tries servers in order from [offset]. */
    private fun completeChain(
        group: ServerGroup,
        query: ChainQuery,
        from: Int,
        offset: Int
    ): List<PlannedHop>? {
        if (from == group.layers) return emptyList()
        val stage = group.servers.filter { from in it.heldLayers.from..<it.heldLayers.until }
        for (step in stage.indices) {
            val server = stage[Math.floorMod(offset + step, stage.size)]
            if (server.id in query.excluded || !query.hasCapacity(server.id)) continue
            val rest = completeChain(group, query, server.heldLayers.until, offset) ?: continue
            return listOf(PlannedHop(server, LayerRange(from, server.heldLayers.until))) + rest
        }
        return null
    }
}
