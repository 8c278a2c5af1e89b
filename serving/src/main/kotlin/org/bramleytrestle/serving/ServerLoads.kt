package org.bramleytrestle.serving

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** [ServerLoad] of each run of a server that this node knows. */
public class ServerLoads(private val now: () -> Moment = Moment::now) {
    private data class Run(val id: String, val bornMillis: Long)

    private val loads = ConcurrentHashMap<Run, ServerLoad>()

    /** End of the last avoidance of any server, so that most decisions look at no server. */
    private val avoidanceEnd = AtomicLong(now().steadyNanos)

    public fun of(server: BackendServer): ServerLoad =
        loads.computeIfAbsent(Run(server.id, server.bornMillis)) { ServerLoad(now, ::avoidUntil) }

    /** Ids of those of [servers] that are avoided. */
    public fun avoided(servers: List<BackendServer>): Set<String> {
        if (now().steadyNanos - avoidanceEnd.get() >= 0) return emptySet()
        return servers.filter { of(it).avoided }.mapTo(mutableSetOf()) { it.id }
    }

    /** Forgets runs that are not in [fleet] and have no request in flight. */
    public fun retain(fleet: Fleet) {
        loads.entries.removeIf { (run, load) ->
            load.own == 0 && fleet.byId[run.id]?.bornMillis != run.bornMillis
        }
    }

    private fun avoidUntil(nanos: Long) {
        avoidanceEnd.accumulateAndGet(nanos) { a, b -> if (a - b >= 0) a else b }
    }
}
