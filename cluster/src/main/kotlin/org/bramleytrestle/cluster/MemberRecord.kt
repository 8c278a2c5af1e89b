package org.bramleytrestle.cluster

/** An entry of the member table. */
internal class MemberRecord(val id: String, val place: MemberPlace, changedAt: Long) {
    var incarnation: Long = 0
    var state: MemberState = MemberState.ALIVE
    var revision: Long = 0
    var changedAt: Long = changedAt
    val dataCentre: String get() = place.dataCentre
    val address: String get() = place.peerAddress

    fun toUpdate(withPlace: Boolean): MemberUpdate =
        MemberUpdate(id, incarnation, state.rank, place.takeIf { withPlace })
}

/** Precedence of states: with equal incarnations, the state with the higher rank wins. */
internal val MemberState.rank: Int
    get() = when (this) {
        MemberState.ALIVE -> 0
        MemberState.LEAVING -> 1
        MemberState.SUSPECT -> 2
        MemberState.DEAD -> 3
    }

internal fun memberState(rank: Int): MemberState? =
    MemberState.entries.firstOrNull { it.rank == rank }
