package org.bramleytrestle.cluster

import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.Rendezvous

/**
 * Selects the members of [dataCentre] that watch the platform. Every member computes the same
 * result from the same table, and a membership change reassigns only the roles of the members that
 * changed.
 */
public fun watchers(
    members: Collection<Member>,
    dataCentre: DataCentre,
    count: Int = 2
): List<InstanceId> = topMembers(members, dataCentre, "watch", count)

/** Selects the members of [dataCentre] that poll the load of [server]. */
public fun reporters(
    members: Collection<Member>,
    dataCentre: DataCentre,
    server: InstanceId,
    count: Int = 2
): List<InstanceId> = topMembers(members, dataCentre, reportKey(server), count)

internal fun reportKey(server: InstanceId): String = "report/${server.value}"

private fun topMembers(
    members: Collection<Member>,
    dataCentre: DataCentre,
    key: String,
    count: Int
): List<InstanceId> {
    val live = members.filter { it.dataCentre == dataCentre && it.state != MemberState.DEAD }
    // Leaving and suspect members still work, but are selected only if there are no alive ones.
    val preferred = live.filter { it.state == MemberState.ALIVE }.ifEmpty { live }
    return Rendezvous.top(key, preferred.map { it.id.value }, count).map(::InstanceId)
}
