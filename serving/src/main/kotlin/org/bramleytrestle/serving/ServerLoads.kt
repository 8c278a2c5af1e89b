package org.bramleytrestle.serving

import java.util.concurrent.ConcurrentHashMap

/** [ServerLoad] of each run of a server that this node knows. */
public class ServerLoads(private val now: () -> Moment = Moment::now) {
    private data class Run(val id: String, val bornMillis: Long)

    private val loads = ConcurrentHashMap<Run, ServerLoad>()

    public fun of(server: BackendServer): ServerLoad =
        loads.computeIfAbsent(Run(server.id, server.bornMillis)) { ServerLoad(now) }

    /** Forgets runs that are not in [fleet] and have no request in flight. */
    public fun retain(fleet: Fleet) {
        loads.entries.removeIf { (run, load) ->
            load.own == 0 && fleet.byId[run.id]?.bornMillis != run.bornMillis
        }
    }
}
