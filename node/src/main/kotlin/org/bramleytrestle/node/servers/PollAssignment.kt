package org.bramleytrestle.node.servers

import org.bramleytrestle.cluster.Member
import org.bramleytrestle.cluster.MemberState
import org.bramleytrestle.cluster.reporters
import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.InstanceId

/**
 * The backend servers that this node polls, each with this node's rank among its reporters.
 * Ranking hashes every member of a data centre for every server, so the result is kept until
 * members or servers change.
 */
internal class PollAssignment(private val self: InstanceId, private val dataCentre: DataCentre) {
    private data class Inputs(
        val members: Set<Triple<InstanceId, DataCentre, MemberState>>,
        val servers: Set<Pair<InstanceId, DataCentre>>
    )

    private var inputs: Inputs? = null
    private var ranks: Map<InstanceId, Int> = emptyMap()

    /** Ranks by server; 0 is the first reporter. Called by one coroutine. */
    fun ranks(members: Collection<Member>, servers: Collection<Instance>): Map<InstanceId, Int> {
        val next = Inputs(
            members.mapTo(HashSet()) { Triple(it.id, it.dataCentre, it.state) },
            servers.mapTo(HashSet()) { it.id to it.dataCentre }
        )
        if (next != inputs) {
            ranks = servers.mapNotNull { rank(members, it) }.toMap()
            inputs = next
        }
        return ranks
    }

    /** Servers of a data centre without live members are polled by members of all others. */
    private fun rank(members: Collection<Member>, server: Instance): Pair<InstanceId, Int>? {
        val near = reporters(members, server.dataCentre, server.id)
            .ifEmpty { reporters(members, dataCentre, server.id) }
        val rank = near.indexOf(self)
        return if (rank < 0) null else server.id to rank
    }
}
