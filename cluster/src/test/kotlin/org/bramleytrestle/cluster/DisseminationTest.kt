package org.bramleytrestle.cluster

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import org.bramleytrestle.model.InstanceId

@OptIn(ExperimentalKotest::class)
class DisseminationTest {
    private fun started(count: Int, dataCentres: Int, seed: Int = 1): Simulation =
        Simulation(seed).also {
            it.addAll(count, dataCentres)
            assertNotNull(it.runUntil(30_000) { it.converged() }, "no convergence at the start")
        }

    private fun Simulation.allAt(revision: Long) =
        live.all { it.listener.state.revision == revision }

    // Guards against lost pushes and, by RecordingListener, against a decreasing revision.
    @Test
    fun `every change reaches all members in order despite message loss and pauses`() = runTest {
        checkAll(PropTestConfig(seed = 11, iterations = 25), Arb.int()) { seed ->
            val simulation = started(12, 3, seed)
            simulation.lossProbability = 0.2
            for (revision in 1L..20L) {
                val upToDate = simulation.live.filter { it.listener.state.revision == revision - 1 }
                if (revision % 5 == 0L) simulation.live.last().paused = true
                upToDate.filter { !it.paused }.random(simulation.random).change(revision)
                simulation.run(simulation.random.nextLong(0, 400))
                if (revision % 5 == 3L) simulation.nodes.forEach { it.resume() }
            }
            simulation.nodes.forEach { it.resume() }
            val time = simulation.runUntil(10_000) { simulation.allAt(20) }
            assertNotNull(time, "seed $seed")
        }
    }

    // Guards against slow dissemination and against one node that pushes to all others.
    @Test
    fun `a change reaches 150 members within a second without one node sending to all`() {
        val simulation = started(150, 15)
        simulation.run(20_000)
        val before = simulation.nodes.associateWith { it.sentFrames }
        simulation.live.first().change(1)
        val time = simulation.runUntil(5_000) { simulation.allAt(1) }
        assertTrue(assertNotNull(time) <= 1_000, "$time ms")
        assertTrue(simulation.nodes.maxOf { it.sentFrames - before.getValue(it) } < 40)
        // A node may also pass changes to pushChanges that it received from a peer.
        val frames = simulation.nodes.sumOf { it.sentFrames }
        simulation.live.forEach { it.core.pushChanges(listOf(change(1))) }
        assertEquals(frames, simulation.nodes.sumOf { it.sentFrames })
    }

    // Guards against a member that misses a push and stays behind until the next change.
    @Test
    fun `a missed push is repaired by the next message`() {
        val simulation = started(9, 3)
        val isolated = simulation.live.last()
        simulation.isLinkDown = { _, b -> b === isolated }
        simulation.live.first().change(1)
        simulation.run(300)
        assertEquals(0, isolated.listener.state.revision)
        simulation.isLinkDown = { _, _ -> false }
        val time = simulation.runUntil(5_000) { isolated.listener.state.revision == 1L }
        assertTrue(assertNotNull(time) <= 1_500, "$time ms")
    }

    // Guards against a node that starts without the platform and remains at an old revision.
    @Test
    fun `a joining node gets the highest revision although no member has all changes`() {
        val simulation = started(9, 3)
        for (revision in 1L..150L) {
            simulation.live.first().change(revision)
            simulation.run(200)
        }
        simulation.run(2_000)
        val late = simulation.add("late", "dc-1", listOf(simulation.live.last().address))
        assertNotNull(simulation.runUntil(3_000) { late.listener.state.revision == 150L })
        assertEquals("150", late.listener.state.tree.maxTokens)
        assertEquals(1, late.listener.statesReceived)
    }

    // Guards against a change that exceeds the frame limit and therefore never arrives.
    @Test
    fun `a change that exceeds the frame limit reaches all members as a state in parts`() {
        val simulation = started(9, 3)
        val names = List(40_000) { "o" + simulation.random.nextLong().toString(16) }
        val patch = buildJsonObject {
            put("organisations", JsonObject(names.associateWith { JsonObject(emptyMap()) }))
        }
        val large = change(1).copy(patch = patch)
        val first = simulation.live.first()
        first.listener.onChanges(listOf(large))
        first.core.pushChanges(listOf(large))
        val time = simulation.runUntil(5_000) { simulation.allAt(1) }
        assertTrue(assertNotNull(time) <= 2_000, "$time ms")
        val others = simulation.live.drop(1)
        assertTrue(others.all { it.listener.state.tree == patch })
        assertTrue(others.all { it.listener.statesReceived == 1 })
    }

    // Guards against reporting a change to an operator as applied while a member lacks it.
    @Test
    fun `members see the lowest applied revision of other data centres`() {
        val simulation = started(9, 3)
        val isolated = simulation.live.last()
        simulation.isLinkDown = { a, b -> (a === isolated || b === isolated) }
        simulation.live.first().change(1)
        simulation.run(1_000)
        val viewer = simulation.live.first { it.dataCentre != isolated.dataCentre }
        assertEquals(0, viewer.view.getValue(InstanceId(isolated.id)).appliedRevision)
        simulation.isLinkDown = { _, _ -> false }
        val time = simulation.runUntil(10_000) {
            simulation.live.all { it.view.values.all { it.appliedRevision == 1L } }
        }
        assertTrue(assertNotNull(time) <= 5_000, "$time ms")
    }
}
