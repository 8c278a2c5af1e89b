package org.bramleytrestle.routing

import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.StageHop

/**
 * Simulates nodes that send streams of steps to servers with one FIFO queue each. Virtual time is
 * in microseconds. All nodes plan with load reports that are at least [reportLag] old.
 */
internal class FleetSimulation(
    private val fleet: RoutingSnapshot,
    private val planners: List<ChainPlanner>,
    private val random: Random,
    private val tokens: Int = 1,
    private val reportInterval: Double = 500_000.0,
    private val reportLag: Double = 250_000.0
) {
    private class Event(val at: Double, val order: Int, val run: () -> Unit)
    private class Server(val microsPerLayer: Double, var freeAt: Double = 0.0)

    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private val servers = fleet.reports.mapValues { Server(it.value.microsPerLayer.toDouble()) }
    private val inFlight = planners.map { HashMap<InstanceId, Int>() }
    private var now = 0.0
    private var nextOrder = 0
    private var sequence = 1L
    val latencies = ArrayList<Double>()

    /** Maximum requests per microsecond of the slowest stage; the stages must be disjoint. */
    fun rateBound(): Double = fleet.servers.values.groupBy { it.layers }.minOf { (range, stage) ->
        stage.sumOf { 1 / (servers.getValue(it.id).microsPerLayer * range!!.size) }
    } / tokens

    /** Offers [load] of the rate bound for [micros]; returns completions relative to the bound. */
    fun run(load: Double, micros: Double): Double {
        val rate = load * rateBound()
        schedule(0.0) { takeReports() }
        schedule(0.0) { arrive(rate) }
        while (events.isNotEmpty() && events.peek().at < micros) {
            val event = events.poll()
            now = event.at
            event.run()
        }
        return latencies.size / (rateBound() * micros)
    }

    private fun schedule(time: Double, run: () -> Unit) {
        events += Event(time, nextOrder++, run)
    }

    private fun arrive(rate: Double) {
        schedule(now - ln(1 - random.nextDouble()) / rate) { arrive(rate) }
        val node = random.nextInt(planners.size)
        val plan = planners[node].choose(
            query().copy(
                promptTokens = 0,
                expectedTokens = tokens,
                inFlight = { inFlight[node][it] ?: 0 }
            )
        ) ?: return
        plan.hops.forEach {
            inFlight[node].merge(it.instance, 1, Int::plus)
        }
        step(plan.hops, 0, now) {
            latencies += it
            plan.hops.forEach { hop -> inFlight[node].merge(hop.instance, -1, Int::plus) }
        }
    }

    private fun step(hops: List<StageHop>, index: Int, startedAt: Double, done: (Double) -> Unit) {
        if (index == hops.size * tokens) return done(now - startedAt)
        val hop = hops[index % hops.size]
        val server = servers.getValue(hop.instance)
        server.freeAt = maxOf(server.freeAt, now) + server.microsPerLayer * hop.layers.size
        schedule(server.freeAt) { step(hops, index + 1, startedAt, done) }
    }

    private fun takeReports() {
        val reports = fleet.reports.mapValues { (id, report) ->
            val queue = maxOf(0.0, servers.getValue(id).freeAt - now).toLong()
            report.copy(queueMicros = queue, sequence = sequence)
        }
        sequence++
        schedule(now + reportLag) { planners.forEach { it.publish(fleet.copy(reports = reports)) } }
        schedule(now + reportInterval) { takeReports() }
    }
}
