package org.bramleytrestle.serving

import java.util.concurrent.ConcurrentHashMap

/** The [ServerLoad] of each known server; a restarted server starts with a new one. */
public class ServerLoads(private val now: () -> Moment = Moment::now) {
    private data class Incarnation(val id: String, val bornMillis: Long)

    private val loads = ConcurrentHashMap<Incarnation, ServerLoad>()

    /** Servers that failed recently; kept apart so that a decision need not check all servers. */
    private val failed = ConcurrentHashMap.newKeySet<Incarnation>()

    public fun of(server: BackendServer): ServerLoad {
        val incarnation = Incarnation(server.id, server.bornMillis)
        return loads.computeIfAbsent(incarnation) { ServerLoad(now) { failed += incarnation } }
    }

    /** Ids of the avoided servers of [service] in [fleet]. */
    public fun avoided(fleet: Fleet, service: String): Set<String> {
        if (failed.isEmpty()) return emptySet()
        failed.removeIf { loads[it]?.avoided != true }
        return failed.mapNotNull { incarnation ->
            fleet.byId[incarnation.id]?.takeIf { it.matches(incarnation, service) }
        }.mapTo(mutableSetOf()) { it.id }
    }

    private fun BackendServer.matches(incarnation: Incarnation, service: String) =
        bornMillis == incarnation.bornMillis && this.service == service

    /** Removes the loads of servers that left [fleet] and have no request in flight. */
    public fun retain(fleet: Fleet) {
        loads.entries.removeIf { (incarnation, load) ->
            load.ownInFlight == 0 &&
                fleet.byId[incarnation.id]?.bornMillis != incarnation.bornMillis
        }
    }
}
