package org.bramleytrestle.cluster

import java.lang.management.ManagementFactory
import kotlin.random.Random
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.model.ModelName
import org.bramleytrestle.model.Rendezvous

/**
 * Measures the control traffic of simulated clusters with real message encoding on virtual time and
 * prints one JSON line per cluster size. Run by `bin/bench-control`; arguments are member counts.
 */
public fun main(args: Array<String>) {
    val sizes = args.map { it.toInt() }.ifEmpty { listOf(9, 50, 200, 550, 1100) }
    for (size in sizes) println(ControlMeasurement(size).run())
}

private class ControlMeasurement(private val size: Int) {
    private val dataCentres = if (size <= 9) 3 else 15
    private val random = Random(size)
    private val servers = maxOf(43, size * 6_300 / 1_100)
    private val subsets = HashMap<String, Set<String>>()
    private val simulation = Simulation(size)
    private var revision = 0L
    private var received = 0

    fun run(): String {
        val before = usedHeap()
        val seeds = List(3) { "${simulation.name(it)}:7000" }
        repeat(size) {
            simulation.add(
                simulation.name(it),
                "dc-${it % dataCentres}",
                seeds,
                wantsReport = { member, server -> usesServer(member.value, server.value) }
            )
        }
        val startMillis = simulation.runUntil(120_000) { simulation.converged() }
        simulation.run(60_000)
        val heap = (usedHeap() - before) / size
        return buildJsonObject {
            put("members", size)
            put("dataCentres", dataCentres)
            put("startMillis", startMillis)
            put("heapBytesPerNode", heap)
            traffic("steady", 60) { simulation.run(60_000) }
            change()
            deaths()
            traffic("churn", 120) { churn(120) }
            put("convergedAfterChurnMillis", simulation.runUntil(60_000) { simulation.converged() })
            traffic("changes", 60) { changes(60) }
            traffic("reports", 20) { reports(20) }
            val needed = simulation.live.size * minOf(SUBSET, servers)
            put("reportsReceivedPerServerAndSecond", received / 20.0 / needed)
        }.toString()
    }

    private fun usesServer(member: String, server: String): Boolean = server in
        subsets.getOrPut(member) {
            val names = List(servers) { "server-$it" }
            if (servers <= SUBSET) names.toSet() else Rendezvous.top(member, names, SUBSET).toSet()
        }

    /** Reports traffic per node and second while [action] runs for [seconds] of virtual time. */
    private fun JsonObjectBuilder.traffic(name: String, seconds: Int, action: () -> Unit) {
        val nodes = simulation.nodes.toList()
        val before = nodes.map { longArrayOf(it.sentBytes, it.receivedBytes, it.sentFrames) }
        val cpu = cpuNanos()
        action()
        val cpuUsed = cpuNanos() - cpu
        val remaining = simulation.nodes.toSet()
        val survivors = nodes.withIndex().filter { it.value in remaining }
        val sent = survivors.map { (i, node) -> (node.sentBytes - before[i][0]) / seconds }
        val received = survivors.map { (i, node) -> (node.receivedBytes - before[i][1]) / seconds }
        val frames = survivors.map { (i, node) -> (node.sentFrames - before[i][2]) / seconds }
        putJsonObject(name) {
            put("sentMean", sent.average().toInt())
            put("sentMax", sent.max())
            put("receivedMean", received.average().toInt())
            put("receivedMax", received.max())
            put("framesSentMean", frames.average().toInt())
            put("framesSentMax", frames.max())
            put("cpuMicrosPerNodeSecond", cpuUsed / 1_000 / size / seconds)
        }
    }

    private fun JsonObjectBuilder.change() = traffic("change", 5) {
        val times = ArrayList<Long>()
        val start = simulation.now
        val node = simulation.live.random(random)
        push(node)
        simulation.runUntil(5_000) {
            simulation.live.all { it.listener.state.revision >= revision }
        }?.let { times += it }
        put("changeInForceMillis", times.firstOrNull() ?: -1)
        val viewed = simulation.runUntil(20_000) {
            simulation.live.all { viewer ->
                viewer.view.values.all { it.appliedRevision >= revision }
            }
        }
        put("changeSeenInForceByAllMillis", viewed?.let { simulation.now - start } ?: -1)
        simulation.run(maxOf(0, start + 5_000 - simulation.now))
    }

    private fun push(node: Simulation.Node) {
        // The patch has a typical size; the audit fields add to it.
        val change = change(++revision, "r".repeat(REASON_CHARS))
        if (node.listener.state.revision < revision - 1) simulation.run(2_000)
        node.listener.onChanges(listOf(change))
        node.core.pushChanges(listOf(change))
    }

    private fun changes(seconds: Int) {
        // The interval corresponds to 11,000 changes a day.
        val intervalMillis = 7_854L
        var remainingMillis = seconds * 1_000L
        while (remainingMillis > 0) {
            push(simulation.live.random(random))
            simulation.run(minOf(remainingMillis, intervalMillis))
            remainingMillis -= intervalMillis
        }
    }

    private fun JsonObjectBuilder.deaths() {
        val localMillis = ArrayList<Long>()
        val globalMillis = ArrayList<Long>()
        repeat(DEATHS) {
            val victim = simulation.live.random(random)
            victim.kill()
            val id = InstanceId(victim.id)
            val start = simulation.now
            val localPeers = simulation.live.filter { it.dataCentre == victim.dataCentre }
            simulation.runUntil(30_000) { localPeers.all { it.seesDead(id) } }
            localMillis += simulation.now - start
            simulation.runUntil(60_000) { simulation.live.all { it.seesDead(id) } }
            globalMillis += simulation.now - start
            simulation.add(victim.id, victim.dataCentre, listOf(simulation.live.first().address))
            simulation.run(10_000)
        }
        put("deathInDataCentreMillisMax", localMillis.max())
        put("deathEverywhereMillisMean", globalMillis.average().toInt())
        put("deathEverywhereMillisMax", globalMillis.max())
    }

    private fun Simulation.Node.seesDead(id: InstanceId): Boolean =
        view[id].let { it == null || it.state == MemberState.DEAD }

    /**
     * Simulates restarts at a rate of 2,900 a day for 1,100 members, and one failure. One failure
     * in this time is above the normal rate.
     */
    private fun churn(seconds: Int) {
        simulation.live.random(random).kill()
        val intervalMillis = 86_400_000L * 1_100 / 2_900 / size
        var remainingMillis = seconds * 1_000L
        while (remainingMillis > 0) {
            val node = simulation.live.random(random)
            node.core.leave()
            simulation.run(2_000)
            node.stop()
            simulation.run(1_000)
            simulation.add(node.id, node.dataCentre, simulation.live.take(3).map { it.address })
            val step = minOf(remainingMillis, intervalMillis) - 3_000
            if (step > 0) simulation.run(step)
            remainingMillis -= maxOf(intervalMillis, 3_000)
        }
    }

    /** Simulates polls of every server once per second by the two reporters of its data centre. */
    private fun reports(seconds: Int) {
        val members = simulation.live.first().view.values
        val pollers = List(servers) { index ->
            val dataCentre = members.first { it.dataCentre.value == "dc-${index % dataCentres}" }
            val ids = reporters(members, dataCentre.dataCentre, InstanceId("server-$index"))
            simulation.live.filter { InstanceId(it.id) in ids }
        }
        for (second in 1..seconds) {
            pollers.forEachIndexed { index, nodes ->
                nodes.forEach { it.core.shareReports(listOf(report(index, second))) }
            }
            simulation.run(1_000)
        }
        received = simulation.live.sumOf { it.listener.reports.size }
    }

    private fun report(index: Int, sequence: Int) = LoadReport(
        InstanceId("server-$index"),
        ModelName("drafter-large"),
        "2026-11-30",
        LayerRange(0, 32),
        "h-80",
        running = random.nextInt(64),
        waiting = random.nextInt(16),
        slots = 64,
        microsPerLayer = random.nextLong(100, 400),
        queueMicros = random.nextLong(100_000),
        takenAtMillis = 1_700_000_000_000 + sequence * 1_000,
        sequence = sequence.toLong()
    )

    private fun cpuNanos(): Long = ManagementFactory.getThreadMXBean().currentThreadCpuTime

    private fun usedHeap(): Long {
        repeat(3) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    private companion object {
        const val SUBSET = 128
        const val DEATHS = 5
        const val REASON_CHARS = 200
    }
}
