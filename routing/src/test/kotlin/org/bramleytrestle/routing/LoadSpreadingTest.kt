package org.bramleytrestle.routing

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.bramleytrestle.model.Instance

class LoadSpreadingTest {
    private val random = Random(5)
    private val servers = (0..<4).flatMap { stage ->
        List(10) {
            engine("e$stage-$it", stage * 8..stage * 8 + 7, dataCentre = "${"abc"[it % 3]}")
        }
    }
    private val fleet = snapshot(
        servers = servers,
        reports = servers.map {
            report(it.id.value, listOf(100L, 200L, 400L, 800L).random(random), sequence = 0)
        }
    )

    private class Result(val completed: Double, val p99Micros: Double)

    private fun simulate(load: Double, tokens: Int, planner: (Int) -> ChainPlanner): Result {
        val planners = List(8) { node -> planner(node).also { it.publish(fleet) } }
        val simulation = FleetSimulation(fleet, planners, Random(9), tokens)
        val completed = simulation.run(load, micros = tokens.coerceAtMost(5) * 2e7)
        val latencies = simulation.latencies.sorted()
        return Result(completed, latencies[latencies.size * 99 / 100])
    }

    private fun planner(node: Int) = DefaultChainPlanner(random = Random(node))

    /** Guards against herding: all nodes send to the servers that the last reports show as idle. */
    @Test
    fun `nodes with lagging reports use mixed servers nearly fully and keep queues short`() {
        val planned = simulate(load = 0.95, tokens = 1) { planner(it) }
        val baseline = simulate(load = 0.95, tokens = 1) { RoundRobinPlanner() }
        assertTrue(planned.completed >= 0.93, "completed ${planned.completed} of the bound")
        // Reports are 250 to 750 ms old; with herding, queues exceed that age by far.
        assertTrue(planned.p99Micros < 150_000, "p99 ${planned.p99Micros} microseconds")
        assertTrue(baseline.completed < 0.7, "baseline completed ${baseline.completed}")
    }

    @Test
    fun `long streams use mixed servers nearly fully`() {
        val planned = simulate(load = 0.95, tokens = 60) { planner(it) }
        val baseline = simulate(load = 0.95, tokens = 60) { RoundRobinPlanner() }
        assertTrue(planned.completed >= 0.9, "completed ${planned.completed} of the bound")
        assertTrue(planned.p99Micros < baseline.p99Micros / 10, "p99 ${planned.p99Micros}")
    }

    /** Guards against planning a whole burst between two reports by one stale queue length. */
    @Test
    fun `choices since the last report count as load`() {
        val pair = listOf(engine("fast", 0..31), engine("slow", 0..31))
        val reports = listOf(report("fast", microsPerLayer = 50), report("slow"))
        val planner = planner(1).also { it.publish(snapshot(pair, reports)) }
        val running = HashMap<String, Int>()
        val query = query().copy(inFlight = { running[it.value] ?: 0 })
        repeat(300) { running.merge(planner.choose(query)!!.ids().single(), 1, Int::plus) }
        assertTrue(running.getValue("fast") in 185..215, "$running")
    }

    /** Guards against chains that cross slow links only to balance the load of servers. */
    @Test
    fun `chains rarely cross slow links and prefer the data centre of the node`() {
        val links = listOf("a>b", "b>a", "a>c", "c>a", "b>c", "c>b").associateWith { 20_000L }
        val planner = planner(1).also { it.publish(fleet.copy(linkMicros = links)) }
        val chains = List(1_000) {
            planner.choose(query())!!.hops.map { fleet.servers.getValue(it.instance).dataCentre }
        }
        val crossings = chains.sumOf { it.zipWithNext().count { (one, next) -> one != next } }
        assertTrue(crossings < 700, "$crossings crossings in 1000 chains")
        assertTrue(chains.count { it.first().value == "a" } > 500)
    }

    /** Sampling two chains does not avoid a server that is part of both. */
    @Test
    fun `a server whose queue exceeds the horizon gets no work`() {
        val reports = servers.map { report(it.id.value, queueMicros = it.overdueQueueMicros()) }
        val planner = planner(1).also { it.publish(snapshot(servers, reports)) }
        val used = List(1_000) { planner.choose(query())!!.ids() }.flatten().toSet()
        val idle = servers.filter { it.overdueQueueMicros() == 0L }
        assertEquals(idle.map { it.id.value }.toSet(), used)
    }

    private fun Instance.overdueQueueMicros() = if (id.value.last() in "12") 5_000_000L else 0L

    @Test
    fun `the baseline takes servers in turn`() {
        val planner = RoundRobinPlanner().also { it.publish(fleet) }
        val used = List(40) { planner.choose(query())!!.ids() }.flatten()
        assertTrue(used.groupingBy { it }.eachCount().values.all { it == 4 })
    }
}
