package org.bramleytrestle.cluster

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.InstanceId

class RoleAssignmentTest {
    private val dataCentre = DataCentre("dc-0")
    private val members = List(20) {
        Member(InstanceId("entry-$it"), DataCentre("dc-${it % 2}"), "entry-$it:7000", "http://$it")
    }

    // Guards against roles that move between members that did not change.
    @Test
    fun `the death of a member reassigns only its own roles`() {
        for (server in List(200) { InstanceId("server-$it") }) {
            val before = reporters(members, dataCentre, server)
            val dead = before.first()
            val after = reporters(members.filter { it.id != dead }, dataCentre, server)
            assertEquals(before - dead, after.take(1))
        }
    }

    // Guards against members with similar names that are assigned all servers or none.
    @Test
    fun `servers are distributed over the members of their data centre`() {
        val assignments = List(1_000) { InstanceId("server-$it") }
            .flatMap { reporters(members, dataCentre, it) }.groupingBy { it }.eachCount()
        val local = members.filter { it.dataCentre == dataCentre }
        assertEquals(local.map { it.id }.toSet(), assignments.keys)
        assertTrue(assignments.values.all { it in 140..260 }, assignments.toString())
    }

    // Guards against a data centre without watchers when all its live members are leaving.
    @Test
    fun `leaving members watch only if there are no alive members`() {
        val one = watchers(members, dataCentre).first()
        val leaving = members.map {
            if (it.id == one) it.copy(state = MemberState.LEAVING) else it
        }
        assertTrue(one !in watchers(leaving, dataCentre))
        val all = members.map { it.copy(state = MemberState.LEAVING) }
        assertEquals(watchers(members, dataCentre), watchers(all, dataCentre))
        val dead = members.map { it.copy(state = MemberState.DEAD) }
        assertEquals(emptyList(), watchers(dead, dataCentre))
    }
}
