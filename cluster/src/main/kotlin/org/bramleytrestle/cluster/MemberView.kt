package org.bramleytrestle.cluster

import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.InstanceId

/**
 * The member table as exposed to the node. The map is rebuilt only after a change, and unchanged
 * members keep their [Member] object.
 */
internal class MemberView(
    private val table: MemberTable,
    private val dataCentres: DataCentreTable
) {
    private var members: Map<InstanceId, Member> = emptyMap()
    private var cachedKey: List<Any> = emptyList()

    fun members(now: Long): Map<InstanceId, Member> {
        val states = table.dataCentres.associateWith { reachability(it, now) }
        val key = listOf(table.version, dataCentres.version, states)
        if (key == cachedKey) return members
        cachedKey = key
        members = table.all.associate { record ->
            val id = InstanceId(record.id)
            id to member(id, record, states.getValue(record.dataCentre))
        }
        return members
    }

    private fun reachability(dataCentre: String, now: Long): MemberState =
        if (dataCentre == table.self.dataCentre) {
            MemberState.ALIVE
        } else {
            dataCentres.state(dataCentre, now)
        }

    private fun member(id: InstanceId, record: MemberRecord, reachability: MemberState): Member {
        val state = if (reachability.rank > record.state.rank) reachability else record.state
        val knownLive = record.state != MemberState.DEAD
        val minRevision = if (knownLive) dataCentres.minRevision(record.dataCentre) else 0
        val revision = maxOf(record.revision, minRevision)
        members[id]?.let {
            val same = it.state == state && it.incarnation == record.incarnation &&
                it.appliedRevision == revision && it.peerAddress == record.address
            if (same) return it
        }
        return Member(
            id,
            DataCentre(record.dataCentre),
            record.address,
            record.place.callerAddress,
            record.incarnation,
            state,
            revision
        )
    }
}
