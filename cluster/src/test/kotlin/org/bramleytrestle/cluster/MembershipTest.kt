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
import org.bramleytrestle.model.InstanceId

@OptIn(ExperimentalKotest::class)
class MembershipTest {
    private fun started(count: Int, dataCentres: Int, seed: Int = 1): Simulation =
        Simulation(seed).also {
            it.addAll(count, dataCentres)
            assertNotNull(it.runUntil(30_000) { it.converged() }, "no convergence at the start")
        }

    private fun Simulation.node(index: Int) = nodes.first { it.id == name(index) }

    private fun Simulation.Node.state(of: Simulation.Node) = view[InstanceId(of.id)]?.state

    // Guards against members that remain unknown or remain alive in a table after their death.
    @Test
    fun `tables converge after random joins, deaths, pauses, loss and partitions`() = runTest {
        checkAll(PropTestConfig(seed = 7, iterations = 25), Arb.int()) { seed ->
            val simulation = started(12, 3, seed)
            simulation.lossProbability = 0.02
            repeat(6) { step -> injectFault(simulation, step) }
            simulation.isLinkDown = { _, _ -> false }
            simulation.nodes.filter { it.paused }.forEach { it.resume() }
            assertNotNull(simulation.runUntil(60_000) { simulation.converged() }, "seed $seed")
        }
    }

    private fun injectFault(simulation: Simulation, step: Int) {
        val seeds = simulation.live.map { it.address }.take(3)
        when (simulation.random.nextInt(5)) {
            0 -> simulation.add("late-$step", "dc-${step % 3}", seeds)
            1 -> simulation.live.random(simulation.random).kill()
            2 -> simulation.live.random(simulation.random).paused = true
            3 -> simulation.live.random(simulation.random).also { it.core.leave() }.stop()
            else -> simulation.isLinkDown = { a, b ->
                a.dataCentre != b.dataCentre && "dc-0" in listOf(a.dataCentre, b.dataCentre)
            }
        }
        simulation.run(simulation.random.nextLong(500, 15_000))
    }

    // Guards against slow failure detection, during which clients of a dead node wait.
    // Guards against a start in which members that learn their seeds late wait for the next retry.
    @Test
    fun `a member that learns of seeds after its start joins within a second`() {
        for (seed in 1..20) {
            val simulation = started(6, 1, seed)
            val late = simulation.add("late", "dc-0", emptyList())
            simulation.run(1_000)
            late.core.addSeeds(listOf("gone:7000") + simulation.nodes.map { it.address })
            val joined = simulation.runUntil(1_000) { late.alive.size == 7 }
            assertNotNull(joined, "seed $seed: ${late.alive}")
        }
    }

    @Test
    fun `all members detect a death within two and a half seconds`() {
        for (seed in 1..10) {
            val simulation = started(9, 3, seed)
            val dead = simulation.node(4).also { it.kill() }
            val time = simulation.runUntil(10_000) {
                simulation.live.all { it.state(dead) == MemberState.DEAD }
            }
            assertTrue(assertNotNull(time) in 1_000..2_500, "seed $seed: $time ms")
        }
    }

    // Guards against false deaths: only indirect probes tell a broken link from a dead member.
    @Test
    fun `a broken link between two members causes no suspicion`() {
        val simulation = started(8, 1)
        val ends = setOf(simulation.node(0), simulation.node(1))
        simulation.isLinkDown = { a, b -> setOf(a, b) == ends }
        repeat(400) {
            simulation.run(50)
            assertTrue(simulation.converged(), "suspicion at ${simulation.now} ms")
        }
    }

    // Guards against a false death due to an unresponsive connection between two healthy nodes.
    @Test
    fun `an unresponsive connection is replaced before either member is suspect`() {
        val simulation = started(2, 1)
        val ends = setOf(simulation.node(0).address, simulation.node(1).address)
        simulation.unresponsiveLinks += ends
        repeat(60) {
            simulation.run(50)
            assertTrue(simulation.converged(), "suspicion at ${simulation.now} ms")
        }
        assertTrue(simulation.unresponsiveLinks.isEmpty())
    }

    // Guards against a resumed member that remains dead in the tables or declares all others dead.
    @Test
    fun `a member that resumes after a pause refutes its death and suspects nobody`() {
        val simulation = started(9, 3)
        val paused = simulation.node(4).also { it.paused = true }
        assertNotNull(
            simulation.runUntil(5_000) {
                simulation.live.all { it.state(paused) == MemberState.DEAD }
            }
        )
        simulation.run(20_000)
        // Peers closed its connections in the meantime, so no recent frames are queued for it.
        paused.inbox.clear()
        paused.resume()
        repeat(500) {
            simulation.run(1)
            assertEquals(9, paused.alive.size)
        }
        val time = simulation.runUntil(5_000) { simulation.converged() }
        assertTrue(assertNotNull(time) < 2_000, "$time ms")
    }

    // Guards against a restarted member that cannot rejoin because of its earlier death or leave.
    @Test
    fun `a restarted member replaces its old entry even if its clock is behind`() {
        for (startSeconds in listOf(null, 1_000L)) {
            val simulation = started(9, 3)
            val old = simulation.node(4)
            old.core.leave()
            simulation.run(2_000)
            old.stop()
            val seeds = listOf(simulation.node(0).address)
            val again = startSeconds?.let {
                simulation.add(old.id, old.dataCentre, seeds, startSeconds = it)
            } ?: simulation.add(old.id, old.dataCentre, seeds)
            val time = simulation.runUntil(10_000) { simulation.converged() }
            assertTrue(assertNotNull(time) < 3_000, "$time ms")
            assertTrue(again.view.getValue(InstanceId(again.id)).incarnation > 0)
        }
    }

    // Guards against two processes with one id that raise their incarnations endlessly.
    @Test
    fun `a process that resumes after it was replaced stops taking part`() {
        val simulation = started(9, 3)
        val old = simulation.node(4).also { it.paused = true }
        simulation.run(15_000)
        val seeds = listOf(simulation.node(0).address)
        simulation.add(old.id, old.dataCentre, seeds, address = "moved:7000")
        simulation.run(5_000)
        old.resume()
        simulation.run(2_000)
        val others = simulation.nodes.filter { it !== old }
        // Longer than the interval of table comparisons, which show the old process the new one.
        repeat(6_000) {
            simulation.run(10)
            others.forEach {
                val member = it.view.getValue(InstanceId(old.id))
                assertEquals("moved:7000", member.peerAddress)
                assertEquals(MemberState.ALIVE, member.state)
            }
        }
    }

    // Guards against callers being sent to a leaving node.
    @Test
    fun `the leaving state reaches all members within a second`() {
        val simulation = started(9, 3)
        val leaving = simulation.node(4).also { it.core.leave() }
        val time = simulation.runUntil(5_000) {
            simulation.nodes.all { it.state(leaving) == MemberState.LEAVING }
        }
        assertTrue(assertNotNull(time) <= 1_000, "$time ms")
        simulation.run(20_000)
        assertTrue(simulation.nodes.all { it.state(leaving) == MemberState.LEAVING })
    }

    // Guards against a node that is able to serve again but still gets no callers.
    @Test
    fun `a node that cancels its leave is alive to all members within a second`() {
        val simulation = started(9, 3)
        val node = simulation.node(4)
        repeat(3) {
            node.core.leave()
            simulation.run(5_000)
            node.core.cancelLeave()
            val time = simulation.runUntil(5_000) {
                simulation.nodes.all { it.state(node) == MemberState.ALIVE }
            }
            assertTrue(assertNotNull(time) <= 1_000, "$time ms")
        }
        simulation.run(20_000)
        assertTrue(simulation.nodes.all { it.state(node) == MemberState.ALIVE })
    }

    // Guards against parts that never merge, and against unreachable members listed as alive.
    @Test
    fun `a partition between data centres is detected and heals without intervention`() {
        val simulation = started(9, 3)
        val isolated = simulation.nodes.filter { it.dataCentre == "dc-2" }
        simulation.isLinkDown = { a, b -> (a in isolated) != (b in isolated) }
        val rest = simulation.nodes - isolated.toSet()
        assertNotNull(
            simulation.runUntil(20_000) {
                simulation.converged(rest) && simulation.converged(isolated)
            }
        )
        simulation.run(3_600_000)
        simulation.isLinkDown = { _, _ -> false }
        val time = simulation.runUntil(20_000) { simulation.converged() }
        assertTrue(assertNotNull(time) < 10_000, "$time ms")
    }

    // Guards against false deaths if two data centres reach each other only through a third.
    @Test
    fun `a broken link between two of three data centres has no effect on the members`() {
        val simulation = started(9, 3)
        simulation.isLinkDown = { a, b ->
            setOf(a.dataCentre, b.dataCentre) == setOf("dc-0", "dc-1")
        }
        simulation.run(60_000)
        assertTrue(simulation.converged())
    }

    // Guards against cluster state that exists only in long-running members.
    @Test
    fun `the cluster survives replacement of all members, one by one and all at once`() {
        val simulation = started(9, 3)
        for (old in simulation.live) {
            old.core.leave()
            simulation.run(2_000)
            old.stop()
            simulation.add("new-${old.id}", old.dataCentre, simulation.live.map { it.address })
            simulation.run(3_000)
        }
        assertNotNull(simulation.runUntil(10_000) { simulation.converged() })
        val all = simulation.live.onEach { it.kill() }
        simulation.run(1_000)
        all.forEach { simulation.add(it.id, it.dataCentre, all.map { it.address }) }
        assertNotNull(simulation.runUntil(10_000) { simulation.converged() })
        assertEquals(9, simulation.live.size)
    }
}
