package org.bramleytrestle.cluster

import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.InstanceId

/** The member table as the node sees it; unchanged members keep their object. */
internal class MemberView(
    private val table: MemberTable,
    private val dataCentres: DataCentreTable
) {
    private var members: Map<InstanceId, Member> = emptyMap()
    private var seen: List<Any> = emptyList()

    fun members(now: Long): Map<InstanceId, Member> {
        val states = table.dataCentres.associateWith { reach(it, now) }
        val key = listOf(table.version, dataCentres.version, states)
        if (key == seen) return members
        seen = key
        members = table.all.associate { record ->
            val id = InstanceId(record.id)
            id to member(id, record, states.getValue(record.dataCentre))
        }
        return members
    }

    private fun reach(dataCentre: String, now: Long): MemberState =
        if (dataCentre == table.self.dataCentre) {
            MemberState.ALIVE
        } else {
            dataCentres.state(dataCentre, now)
        }

    private fun member(id: InstanceId, record: MemberRecord, reach: MemberState): Member {
        val state = if (reach.rank > record.state.rank) reach else record.state
        val counted = record.state != MemberState.DEAD
        val floor = if (counted) dataCentres.floor(record.dataCentre) else 0
        val revision = maxOf(record.revision, floor)
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
