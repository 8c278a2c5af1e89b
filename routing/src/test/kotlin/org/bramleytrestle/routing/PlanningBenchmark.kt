package org.bramleytrestle.routing

import com.github.michaelbull.result.unwrap
import com.sun.management.ThreadMXBean
import java.lang.management.ManagementFactory
import kotlin.random.Random
import kotlin.time.TimeSource
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.put
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.ModelName
import org.bramleytrestle.settings.SettingsState

/** Measures planning decisions and snapshot rebuilds and prints one JSON line. Argument: seed. */
internal object PlanningBenchmark {
    private const val STAGES = 4
    private const val LAYERS = 32
    private const val WARM_UP = 300_000
    private const val DECISIONS = 1_000_000
    private const val REBUILDS = 60
    private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
    private val inFlight = HashMap<InstanceId, Int>()

    @JvmStatic
    fun main(args: Array<String>) {
        val seed = args.firstOrNull()?.toInt() ?: 1
        val line = buildJsonObject {
            put("seed", seed)
            put("java", System.getProperty("java.version"))
            for (servers in listOf(40, 450)) {
                put("decisions$servers", decisions(fleet(servers, 1, 3, Random(seed)), seed))
            }
            put("rebuild6300", rebuilds(fleet(6_300, 14, 15, Random(seed)), seed))
        }
        println(line)
    }

    private fun planner(seed: Int) = DefaultChainPlanner(
        subset = ServerSubset(InstanceId("node-1")),
        random = Random(seed)
    )

    private fun decisions(fleet: RoutingSnapshot, seed: Int): JsonObject {
        val planner = planner(seed).also { it.publish(fleet) }
        val query = query().copy(model = ModelName("m0"), inFlight = { inFlight[it] ?: 3 })
        var hops = 0
        repeat(WARM_UP) { hops += planner.choose(query)!!.hops.size }
        val bytes = allocatedBytes()
        val start = TimeSource.Monotonic.markNow()
        repeat(DECISIONS) { hops += planner.choose(query)!!.hops.size }
        val nanos = start.elapsedNow().inWholeNanoseconds / DECISIONS
        check(hops >= WARM_UP + DECISIONS)
        return buildJsonObject {
            put("nanos", nanos)
            put("bytes", (allocatedBytes() - bytes) / DECISIONS)
        }
    }

    private fun rebuilds(fleet: RoutingSnapshot, seed: Int): JsonObject {
        val planner = planner(seed)
        val random = Random(seed)
        val nanos = ArrayList<Long>()
        var bytes = 0L
        repeat(2 * REBUILDS) { round ->
            val next = fleet.copy(
                reports = fleet.reports.mapValues {
                    it.value.copy(queueMicros = random.nextLong(50_000), sequence = round + 1L)
                }
            )
            val before = allocatedBytes()
            val start = threads.currentThreadCpuTime
            planner.publish(next)
            nanos += threads.currentThreadCpuTime - start
            bytes += allocatedBytes() - before
        }
        val sorted = nanos.drop(REBUILDS).sorted()
        return buildJsonObject {
            put("cpuMicrosMedian", sorted[sorted.size / 2] / 1_000)
            put("cpuMicrosMax", sorted.last() / 1_000)
            put("cpuMicrosFirst", nanos.first() / 1_000)
            put("bytes", bytes / nanos.size)
        }
    }

    private fun allocatedBytes() = threads.getThreadAllocatedBytes(Thread.currentThread().id)

    private fun fleet(
        servers: Int,
        models: Int,
        dataCentres: Int,
        random: Random
    ): RoutingSnapshot {
        val size = LAYERS / STAGES
        val engines = List(servers) {
            val from = it / models % STAGES * size
            engine("e$it", from..<from + size, "p${it % models}", "1", "dc${it % dataCentres}")
                .copy(model = ModelName("m${it % models}"))
        }
        val speeds = listOf(100L, 200L, 400L, 800L)
        val names = List(dataCentres) { "dc$it" }
        val tree = """{"models": {${names(models) { """"m$it": {"layers": $LAYERS}""" }}},
            "pools": {${names(models) {
            """"p$it": {"kind": "engine", "model": "m$it", "side": "new"}"""
        }}}}"""
        return RoutingSnapshot(
            settings = SettingsState.of(1, Json.parseToJsonElement(tree).jsonObject).unwrap(),
            servers = engines.associateBy { it.id },
            reports = engines.associate {
                it.id to report(it.id.value, speeds.random(random), sequence = 0)
            },
            linkMicros = names.flatMap { a ->
                names.map { b ->
                    "$a>$b" to
                        (if (a == b) 50L else 900L)
                }
            }
                .toMap(),
            dataCentre = "dc0"
        )
    }

    private fun names(count: Int, text: (Int) -> String) =
        (0..<count).joinToString(transform = text)
}
