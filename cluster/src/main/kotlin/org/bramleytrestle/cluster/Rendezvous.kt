package org.bramleytrestle.cluster

import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.InstanceId

/**
 * Members of [dataCentre] that watch the platform. Every member computes the same answer from the
 * same table, and a change of membership moves only the places of the members that changed.
 */
public fun watchers(
    members: Collection<Member>,
    dataCentre: DataCentre,
    count: Int = 2
): List<InstanceId> = topMembers(members, dataCentre, "watch", count)

/** Members of [dataCentre] that poll the load of [server]. */
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
    // A leaving or suspect member still works; it counts only where nobody else is left.
    val preferred = live.filter { it.state == MemberState.ALIVE }.ifEmpty { live }
    return Rendezvous.top(preferred.map { it.id.value }, key, count).map(::InstanceId)
}

/** Highest random weight hashing. */
internal object Rendezvous {
    private const val FNV_OFFSET = -3750763034362895579L
    private const val FNV_PRIME = 1099511628211L
    private const val MIX_SHIFT = 32
    private const val MIX_FIRST = -49064778989728563L
    private const val MIX_SECOND = -4265267296055464877L
    private const val SEPARATOR = 0x1fL

    fun top(names: Collection<String>, key: String, count: Int): List<String> = names
        .map { it to weight(key, it) }
        .sortedWith(compareByDescending<Pair<String, Long>> { it.second }.thenBy { it.first })
        .take(count)
        .map { it.first }

    private fun weight(key: String, name: String): Long =
        hash(name, (hash(key, FNV_OFFSET) xor SEPARATOR) * FNV_PRIME)

    /** FNV-1a with a final mix: similar names must not get similar weights. */
    fun hash(text: String, basis: Long = FNV_OFFSET): Long {
        var hash = basis
        for (char in text) hash = (hash xor char.code.toLong()) * FNV_PRIME
        hash = (hash xor (hash ushr MIX_SHIFT)) * MIX_FIRST
        hash = (hash xor (hash ushr MIX_SHIFT)) * MIX_SECOND
        return hash xor (hash ushr MIX_SHIFT)
    }
}
