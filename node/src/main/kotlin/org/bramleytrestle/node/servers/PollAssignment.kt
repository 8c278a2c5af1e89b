package org.bramleytrestle.node.servers

import org.bramleytrestle.cluster.Member
import org.bramleytrestle.cluster.MemberState
import org.bramleytrestle.cluster.reporters
import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.InstanceId

/**
 * Assigns backend servers to this node for polling, each with the rank of this node among the
 * server's reporters. Ranking hashes every member of a data centre for every server, so the result
 * is cached until members or servers change.
 */
internal class PollAssignment(private val self: InstanceId, private val dataCentre: DataCentre) {
    private data class Inputs(
        val members: Set<Triple<InstanceId, DataCentre, MemberState>>,
        val servers: Set<Pair<InstanceId, DataCentre>>
    )

    private var cachedInputs: Inputs? = null
    private var cachedRanks: Map<InstanceId, Int> = emptyMap()

    /** Ranks by server; rank 0 is the primary reporter. Not thread-safe. */
    fun ranks(members: Collection<Member>, servers: Collection<Instance>): Map<InstanceId, Int> {
        val inputs = Inputs(
            members.mapTo(HashSet()) { Triple(it.id, it.dataCentre, it.state) },
            servers.mapTo(HashSet()) { it.id to it.dataCentre }
        )
        if (inputs != cachedInputs) {
            cachedRanks = servers.mapNotNull { rank(members, it) }.toMap()
            cachedInputs = inputs
        }
        return cachedRanks
    }

    /** Servers of a data centre without live members are polled from every other data centre. */
    private fun rank(members: Collection<Member>, server: Instance): Pair<InstanceId, Int>? {
        val candidates = reporters(members, server.dataCentre, server.id)
            .ifEmpty { reporters(members, dataCentre, server.id) }
        val rank = candidates.indexOf(self)
        return if (rank < 0) null else server.id to rank
    }
}
