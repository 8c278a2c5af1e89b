package org.bramleytrestle.serving

import java.util.concurrent.ConcurrentHashMap

/** [ServerLoad] of each run of a server that this node knows. */
public class ServerLoads(private val now: () -> Moment = Moment::now) {
    private data class Run(val id: String, val bornMillis: Long)

    private val loads = ConcurrentHashMap<Run, ServerLoad>()

    /** Those that failed lately, so that most decisions look at no other server. */
    private val failed = ConcurrentHashMap.newKeySet<Run>()

    public fun of(server: BackendServer): ServerLoad {
        val run = Run(server.id, server.bornMillis)
        return loads.computeIfAbsent(run) { ServerLoad(now) { failed += run } }
    }

    /** Ids of those servers of [service] in [fleet] that are avoided. */
    public fun avoided(fleet: Fleet, service: String): Set<String> {
        if (failed.isEmpty()) return emptySet()
        failed.removeIf { loads[it]?.avoided != true }
        return failed.mapNotNull { run -> fleet.byId[run.id]?.takeIf { it.isRun(run, service) } }
            .mapTo(mutableSetOf()) { it.id }
    }

    private fun BackendServer.isRun(run: Run, service: String) =
        bornMillis == run.bornMillis && this.service == service

    /** Forgets runs that are not in [fleet] and have no request in flight. */
    public fun retain(fleet: Fleet) {
        loads.entries.removeIf { (run, load) ->
            load.own == 0 && fleet.byId[run.id]?.bornMillis != run.bornMillis
        }
    }
}
