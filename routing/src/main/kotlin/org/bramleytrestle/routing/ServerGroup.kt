package org.bramleytrestle.routing

import org.bramleytrestle.model.InstanceId

/** The servers of one model or plain service on one side. */
internal class ServerGroup(
    val servers: List<PlanningServer>,
    val layers: Int,
    val links: LinkTable
) {
    private val byId by lazy { servers.associateBy { it.id } }

    fun server(id: InstanceId): PlanningServer? = byId[id]

    /** Whether the servers that [query] does not exclude hold every layer between them. */
    fun covers(query: ChainQuery): Boolean {
        var covered = 0
        val allowed = servers.filter { it.id !in query.excluded }
        for (server in allowed.sortedBy { it.heldLayers.from }) {
            if (server.heldLayers.from > covered) return false
            covered = maxOf(covered, server.heldLayers.until)
        }
        return covered == layers
    }
}
