package org.bramleytrestle.routing

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.test.runTest
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.Rendezvous

class RendezvousTest {
    private val ids = List(10) { "node-$it" }

    @Test
    fun `a joining id only takes keys and moves none between the others`() = runTest {
        checkAll(PropTestConfig(seed = 3, iterations = 500), Arb.int()) { number ->
            val before = Rendezvous.rank("key-$number", ids)
            val after = Rendezvous.rank("key-$number", ids.reversed() + "joined")
            assertEquals(before, after - "joined")
        }
    }

    @Test
    fun `similar ids win similar numbers of similar keys`() {
        val wins = (0..<10_000).groupingBy {
            Rendezvous.top("key-$it", ids, 1).single()
        }.eachCount()
        assertTrue(wins.size == ids.size && wins.values.all { it in 880..1120 }, "$wins")
    }

    @Test
    fun `a node uses at most the subset of each layer range and nodes use different servers`() {
        val servers = (0..<4).flatMap { stage ->
            List(40) { engine("e$stage-$it", stage * 8..stage * 8 + 7) }
        }
        val used = listOf("a", "b").map { node ->
            val subset = ServerSubset(InstanceId(node), size = 8)
            val planner = DefaultChainPlanner(subset = subset, random = kotlin.random.Random(1))
            planner.publish(snapshot(servers))
            (0..<2_000).flatMap { planner.choose(query())!!.ids() }.toSet()
        }
        used.forEach { assertEquals(32, it.size) }
        assertTrue((used[0] intersect used[1]).size < 20)
    }
}
