package org.bramleytrestle.node.servers

import kotlin.test.Test
import kotlin.test.assertEquals
import org.bramleytrestle.cluster.Member
import org.bramleytrestle.cluster.MemberState
import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.InstanceRole

class PollAssignmentTest {
    private val localDataCentre = DataCentre("dc1")
    private val members =
        List(4) { Member(InstanceId("n$it"), localDataCentre, "n$it:1", "http://n$it") }

    private fun servers(dataCentre: String) = List(50) {
        Instance(InstanceId("e$it"), InstanceRole.ENGINE, "http://e$it", DataCentre(dataCentre))
    }

    private fun primaryReporterCounts(
        members: List<Member>,
        servers: List<Instance>
    ): Map<InstanceId, Int> = members.filter { it.state == MemberState.ALIVE }
        .flatMap { PollAssignment(it.id, localDataCentre).ranks(members, servers).entries }
        .filter { it.value == 0 }
        .groupingBy { it.key }.eachCount()

    @Test
    fun `each server has exactly one primary reporter, even if its data centre has no node`() {
        for (dataCentre in listOf("dc1", "dc9")) {
            val servers = servers(dataCentre)
            assertEquals(
                servers.associate { it.id to 1 },
                primaryReporterCounts(members, servers),
                dataCentre
            )
        }
    }

    @Test
    fun `cached ranks are recomputed when a member dies or the servers change`() {
        val assignment = PollAssignment(InstanceId("n0"), localDataCentre)
        assignment.ranks(members, servers("dc1"))
        val membersAfterDeaths =
            members.drop(1).map { it.copy(state = MemberState.DEAD) } + members.first()
        val ranksOfSoleNode = servers("dc1").associate { it.id to 0 }
        assertEquals(ranksOfSoleNode, assignment.ranks(membersAfterDeaths, servers("dc1")))
        assertEquals(
            ranksOfSoleNode.keys.take(3).toSet(),
            assignment.ranks(membersAfterDeaths, servers("dc1").take(3)).keys
        )
    }
}
