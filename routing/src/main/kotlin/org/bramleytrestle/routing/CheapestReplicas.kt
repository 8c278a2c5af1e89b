package org.bramleytrestle.routing

/** Caches the cheapest server of each replica set per layer count until [invalidate] is called. */
internal class CheapestReplicas(replicaSets: List<ReplicaSet>, private val cost: HopCost) {
    private val micros = Array(replicaSets.size) {
        DoubleArray(replicaSets[it].heldLayers.size + 1) { UNKNOWN }
    }
    private val servers = Array(replicaSets.size) {
        arrayOfNulls<PlanningServer>(replicaSets[it].heldLayers.size + 1)
    }

    fun micros(replicas: ReplicaSet, layers: Int): Double {
        val cached = micros[replicas.index][layers]
        if (cached >= 0) return cached
        var bestMicros = Double.POSITIVE_INFINITY
        for (server in replicas.servers) {
            val candidate = cost.micros(server, layers)
            if (candidate < bestMicros) {
                bestMicros = candidate
                servers[replicas.index][layers] = server
            }
        }
        micros[replicas.index][layers] = bestMicros
        return bestMicros
    }

    fun server(replicas: ReplicaSet, layers: Int): PlanningServer =
        checkNotNull(servers[replicas.index][layers])

    /** Discards the cached costs of [replicas] after the cost of one of its servers has changed. */
    fun invalidate(replicas: ReplicaSet) {
        micros[replicas.index].fill(UNKNOWN)
    }

    private companion object {
        const val UNKNOWN = -1.0
    }
}
