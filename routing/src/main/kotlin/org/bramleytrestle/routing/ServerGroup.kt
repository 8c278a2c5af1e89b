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

    /** Whether servers that the query does not exclude cover every layer. */
    fun covers(query: ChainQuery): Boolean {
        var covered = 0
        for (server in servers.filter { it.id !in query.excluded }.sortedBy { it.held.from }) {
            if (server.held.from > covered) return false
            covered = maxOf(covered, server.held.until)
        }
        return covered == layers
    }
}
