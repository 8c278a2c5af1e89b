package org.bramleytrestle.cluster

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.InstanceId

class DutiesTest {
    private val home = DataCentre("dc-0")
    private val members = List(20) {
        Member(InstanceId("entry-$it"), DataCentre("dc-${it % 2}"), "entry-$it:7000", "http://$it")
    }

    // Guards against duties that move between members that did not change.
    @Test
    fun `the death of a member moves only its own places`() {
        for (server in List(200) { InstanceId("server-$it") }) {
            val before = reporters(members, home, server)
            val dead = before.first()
            val after = reporters(members.filter { it.id != dead }, home, server)
            assertEquals(before - dead, after.take(1))
        }
    }

    // Guards against members with similar names that get all or none of the duties.
    @Test
    fun `servers are divided over the members of their data centre`() {
        val places = List(1_000) { InstanceId("server-$it") }
            .flatMap { reporters(members, home, it) }.groupingBy { it }.eachCount()
        assertEquals(members.filter { it.dataCentre == home }.map { it.id }.toSet(), places.keys)
        assertTrue(places.values.all { it in 140..260 }, places.toString())
    }

    // Guards against a data centre without watchers while only leaving members are left.
    @Test
    fun `leaving members watch only where no other is left`() {
        val one = watchers(members, home).first()
        val leaving = members.map {
            if (it.id == one) it.copy(state = MemberState.LEAVING) else it
        }
        assertTrue(one !in watchers(leaving, home))
        val all = members.map { it.copy(state = MemberState.LEAVING) }
        assertEquals(watchers(members, home), watchers(all, home))
        val dead = members.map { it.copy(state = MemberState.DEAD) }
        assertEquals(emptyList(), watchers(dead, home))
    }
}
