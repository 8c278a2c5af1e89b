package org.bramleytrestle.routing

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlinx.coroutines.test.runTest
import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.ServiceName

class DefaultChainPlannerTest {
    private fun planner(snapshot: RoutingSnapshot, seed: Int = 7) =
        DefaultChainPlanner(random = Random(seed)).also { it.publish(snapshot) }

    private fun randomFleet(random: Random, layers: Int): List<Instance> =
        List(random.nextInt(1, 16)) {
            val from = random.nextInt(layers)
            engine(
                id = "e$it",
                layers = from..random.nextInt(from, layers),
                dataCentre = "abc"[random.nextInt(3)].toString(),
                leaving = random.nextInt(8) == 0
            )
        }

    /** Whether [servers] hold each layer; a server can run any contiguous part of its layers. */
    private fun covers(servers: List<Instance>, layers: Int) =
        (0..<layers).all { layer -> servers.any { layer in it.layers!!.from..<it.layers!!.until } }

    @Test
    fun `every chain covers all layers exactly by allowed servers with capacity`() = runTest {
        checkAll(PropTestConfig(seed = 11, iterations = 500), Arb.int()) { seed ->
            val random = Random(seed)
            val layers = random.nextInt(1, 12)
            val servers = randomFleet(random, layers)
            val reports = servers.map {
                report(it.id.value, random.nextLong(1, 900), random.nextLong(9_000))
            }
            val (excluded, allowed) = servers.partition { random.nextInt(6) == 0 }
            val full = servers.filter { random.nextInt(4) == 0 }.map { it.id }.toSet()
            val usable = allowed.filterNot { it.leaving }
            val planner = planner(snapshot(servers, reports, layers), seed)
            val query = query(excluded = excluded.map { it.id }.toSet())
                .copy(hasCapacity = { it !in full })

            val plan = planner.choose(query)

            assertEquals(covers(usable, layers), planner.hasChain(query))
            val withCapacity = usable.filterNot { it.id in full }
            assertEquals(covers(withCapacity, layers), plan != null)
            if (plan != null) {
                assertTrue(LayerRange.coversExactly(plan.hops.map { it.layers }, layers))
                assertTrue(withCapacity.map { it.id }.containsAll(plan.hops.map { it.instance }))
                assertEquals(plan.hops.size, plan.ids().toSet().size)
            }
        }
    }

    @Test
    fun `unusable servers are never chosen`() {
        val whole = 0..31
        val cases = mapOf(
            "another version" to engine("x", whole, version = "1"),
            "no version" to engine("x", whole, version = null),
            "no pool" to engine("x", whole, pool = null),
            "unknown pool" to engine("x", whole, pool = "gone"),
            "the other side" to engine("x", whole, pool = "old"),
            "a service pool" to engine("x", whole, pool = "booking"),
            "leaving" to engine("x", whole, leaving = true),
            "more layers than the model" to engine("x", 0..32),
            "a missing layer" to engine("x", 1..31)
        )
        cases.forEach { (name, server) ->
            val planner = planner(snapshot(listOf(server)))
            assertNull(planner.choose(query()), name)
            assertTrue(!planner.hasChain(query()), name)
        }
        val reportedLeaving =
            snapshot(listOf(engine("x", whole)), listOf(report("x", leaving = true)))
        assertNull(planner(reportedLeaving).choose(query()))
        assertNotNull(planner(snapshot(listOf(engine("x", whole)))).choose(query()))
    }

    @Test
    fun `a report of another version takes precedence over the lagging instance list`() {
        val server = engine("x", 0..31, version = "1")
        val switched = report("x").copy(version = "2")
        assertNotNull(planner(snapshot(listOf(server), listOf(switched))).choose(query()))
    }

    @Test
    fun `a plain service is one hop of one layer on a server of its pool`() {
        val servers = listOf(engine("s", 0..0, pool = "booking"), engine("e", 0..31))
        val booking = query().copy(model = null, service = ServiceName("booking"))
        val plan = assertNotNull(planner(snapshot(servers)).choose(booking))
        assertEquals(listOf("s"), plan.ids())
        assertEquals(LayerRange(0, 1), plan.hops.single().layers)
        assertNull(
            planner(snapshot(servers)).choose(booking.copy(excluded = setOf(InstanceId("s"))))
        )
    }

    /** The prepared chains all use the full server, so the planner falls back to a search. */
    @Test
    fun `a chain never returns to a server although another is faster in between`() {
        val servers =
            listOf(engine("slow", 0..31), engine("fast", 8..23), engine("full", 0..31))
        val reports = listOf(report("slow", 900), report("fast", 1), report("full", 1))
        val query = query().copy(hasCapacity = { it.value != "full" })
        repeat(20) {
            val plan = assertNotNull(planner(snapshot(servers, reports), it).choose(query))
            assertEquals(listOf("slow"), plan.ids())
        }
    }
}
