package org.bramleytrestle.serving

import java.lang.management.ManagementFactory

private const val DECISIONS = 20_000
private const val PLANS = 20
private const val NANOS_PER_MICRO = 1_000.0

/** Measures the CPU time of routing decisions; run by `bin/bench-decisions`. */
public fun main(args: Array<String>) {
    val sizes = args.map { it.toInt() }.ifEmpty { listOf(39, 150, 450) }
    for (size in sizes) println(DecisionMeasurement(size).run())
}

private class DecisionMeasurement(private val size: Int) {
    private val service = BackendService("model", model)
    private val fleet = Fleet(placedFleet())
    private val selector = ServerSelector("dc-0").also { it.update(fleet) }

    fun run(): String {
        repeat(3) { microsEach(DECISIONS) { choose() } }
        val steady = microsEach(DECISIONS) { choose() }
        val search = microsEach(PLANS) {
            selector.update(fleet)
            choose()
        }
        val failed = checkNotNull(selector.chain(service, emptySet())).chain.stages[1].server
        selector.load(failed).failed()
        choose()
        val avoiding = microsEach(DECISIONS / 10) {
            selector.load(failed).failed()
            choose()
        }
        return "servers=$size decision_us=%.1f while_a_server_is_avoided_us=%.1f ".format(
            steady,
            avoiding
        ) + "first_after_a_change_us=%.0f".format(search)
    }

    private fun choose() = checkNotNull(selector.chain(service, emptySet()))

    /** A fleet with accelerators of all kinds in up to 15 data centres, fewer for small fleets. */
    private fun placedFleet(): List<BackendServer> {
        val centres = (size / 13).coerceIn(1, 15)
        val empty = (0 until size).map {
            val card = listOf("middle", "small", "tiny", "small", "tiny", "tiny", "large")[it % 7]
            modelServer("s$it", "dc-${it / 7 % centres}", card)
        }
        val plan = LayerPlanner(model).plan(empty.map(::placed))
        return empty.map { it.copy(held = plan.layers[it.id]) }
    }

    private fun microsEach(count: Int, action: () -> Unit): Double {
        val threads = ManagementFactory.getThreadMXBean()
        val before = threads.currentThreadCpuTime
        repeat(count) { action() }
        return (threads.currentThreadCpuTime - before) / NANOS_PER_MICRO / count
    }
}
