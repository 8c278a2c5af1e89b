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
    private val near = DataCentre("dc1")
    private val members = List(4) { Member(InstanceId("n$it"), near, "n$it:1", "http://n$it") }

    private fun servers(dataCentre: String) = List(50) {
        Instance(InstanceId("e$it"), InstanceRole.ENGINE, "http://e$it", DataCentre(dataCentre))
    }

    private fun firsts(members: List<Member>, servers: List<Instance>): Map<InstanceId, Int> =
        members.filter { it.state == MemberState.ALIVE }
            .flatMap { PollAssignment(it.id, near).ranks(members, servers).entries }
            .filter { it.value == 0 }
            .groupingBy { it.key }.eachCount()

    @Test
    fun `each server has one first reporter, also where its data centre has no node`() {
        for (dataCentre in listOf("dc1", "dc9")) {
            val servers = servers(dataCentre)
            assertEquals(servers.associate { it.id to 1 }, firsts(members, servers), dataCentre)
        }
    }

    @Test
    fun `kept ranks do not outlive the death of a member or a change of the servers`() {
        val assignment = PollAssignment(InstanceId("n0"), near)
        assignment.ranks(members, servers("dc1"))
        val dead = members.drop(1).map { it.copy(state = MemberState.DEAD) } + members.first()
        val alone = servers("dc1").associate { it.id to 0 }
        assertEquals(alone, assignment.ranks(dead, servers("dc1")))
        assertEquals(
            alone.keys.take(3).toSet(),
            assignment.ranks(dead, servers("dc1").take(3)).keys
        )
    }
}
