package org.bramleytrestle.standins.soak

import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.bramleytrestle.standins.fleet.FleetLauncher

/** The faults of a soak run; each takes its target from the seed and undoes itself. */
internal class SoakFaults(
    private val fleet: SoakFleet,
    private val tally: SoakTally,
    private val monitor: SoakMonitor,
    private val random: Random
) {
    private val http = fleet.launcher.http
    private val client = SoakClient()

    /** All faults by the name that `--faults` takes. */
    val all: Map<String, () -> Unit> = mapOf(
        "killNode" to ::killNode,
        "killEngine" to ::killEngine,
        "freezeNode" to ::freezeNode,
        "freezeEngine" to ::freezeEngine,
        "cutEngine" to { engineFault("""{"dropConnections":0.05,"seed":${random.nextInt()}}""") },
        "silentEngine" to { engineFault("""{"freezeAfterSteps":20}""") },
        "slowEngine" to { engineFault("""{"slowFactor":6.0}""") },
        "crossedAnswers" to
            { engineFault("""{"crossedAnswers":0.05,"seed":${random.nextInt()}}""") },
        "truncatedStreams" to { engineFault("""{"truncateAfterTokens":5}""") },
        "loseServiceAnswers" to
            { serviceFault("""{"loseAnswers":0.3,"seed":${random.nextInt()}}""") },
        "refuseService" to { serviceFault("""{"refuse503":0.3,"seed":${random.nextInt()}}""") },
        "platformDown" to { platformFault("""{"down":true}""") },
        "platformSlow" to { platformFault("""{"slowMillis":400}""") },
        "loseWriteAnswers" to
            { platformFault("""{"loseWriteAnswers":0.5,"seed":${random.nextInt()}}""") },
        "staleReads" to { platformFault("""{"staleReadMillis":3000,"listLagMillis":2000}""") },
        "operatorRace" to ::operatorRace,
        "drainNode" to ::drainNode,
        "drainEngine" to ::drainEngine
    )

    private fun killNode() {
        val id = pickNode() ?: return
        fleet.faulty += id
        fleet.nodes.getValue(id).kill()
        pause(1, 3)
        restartNode(id)
    }

    private fun freezeNode() {
        val id = pickNode() ?: return
        fleet.faulty += id
        val process = fleet.nodes.getValue(id)
        process.pause()
        pause(1, 5)
        process.resume()
        pause(1, 1)
        fleet.healed(id)
    }

    private fun drainNode() {
        val id = pickNode() ?: return
        fleet.draining += id
        val ended = fleet.nodes.getValue(id).terminate(DRAIN_LIMIT)
        if (!ended) tally.violation("cutByDrain", "$id did not end within $DRAIN_LIMIT")
        // The replacement has the same id, so it counts as faulty until it serves.
        fleet.faulty += id
        fleet.draining -= id
        restartNode(id)
    }

    private fun restartNode(id: String) {
        try {
            fleet.node(id)
        } catch (e: IllegalStateException) {
            // Not ready while the platform is down and no peer knows more; callers avoid it.
            println("soak: $id is not ready yet: ${e.message}")
        }
        fleet.healed(id)
    }

    private fun killEngine() = withEngine { id ->
        fleet.engines.getValue(id).kill()
        pause(1, 3)
        fleet.replaceEngine(id)
    }

    private fun freezeEngine() = withEngine { id ->
        val process = fleet.engines.getValue(id)
        process.pause()
        pause(2, 6)
        process.resume()
    }

    private fun drainEngine() = withEngine { id ->
        if (random.nextBoolean()) {
            http.put("${fleet.address(id)}/standin/leaving", "{}")
        } else {
            fleet.listLeaving(id)
        }
        pause(3, 6)
        fleet.replaceEngine(id)
    }

    private fun engineFault(faults: String) = withEngine { id ->
        http.put("${fleet.address(id)}/standin/faults", faults)
        pause(2, 6)
        // A frozen engine does not take the end of its fault; it is replaced as a platform would.
        if ("freeze" in faults) {
            fleet.replaceEngine(id)
        } else {
            http.put("${fleet.address(id)}/standin/faults", "{}")
        }
    }

    private fun serviceFault(faults: String) {
        val id = fleet.services.keys.sorted().random(random)
        http.put("${fleet.address(id)}/standin/faults", faults)
        pause(2, 6)
        http.put("${fleet.address(id)}/standin/faults", "{}")
    }

    private fun platformFault(faults: String) {
        val url = "${fleet.launcher.platform}/standin/faults"
        http.put(url, faults)
        pause(3, 10)
        http.put(url, "{}")
    }

    /** Two operators change the same setting against the same revision through two nodes. */
    private fun operatorRace() {
        val ids = fleet.nodes.keys.filter { it !in fleet.faulty && it !in fleet.draining }.sorted()
        if (ids.size < 2) return
        val (one, two) = ids.shuffled(random).take(2)
        val auth = mapOf("Authorization" to "Bearer ${FleetLauncher.TOKEN}")
        val settings = client.get("${fleet.launcher.operators(one)}/admin/settings", auth)
        if (!settings.ok) return
        val base = Json.parseToJsonElement(settings.body).jsonObject.getValue("revision")
            .jsonPrimitive.long
        val share = random.nextDouble()
        val winners = listOf(one, two).map { node ->
            val result = arrayOfNulls<SoakClient.Reply>(1)
            val worker = thread {
                val body = """{"baseRevision":$base,"changeId":"race-$base-$node-$share",""" +
                    """"reason":"soak","patch":{"defaults":{"newShare":$share}}}"""
                val url = "${fleet.launcher.operators(node)}/admin/changes"
                result[0] = client.post(url, body, auth)
            }
            worker to result
        }.count { (worker, result) ->
            worker.join()
            result[0]?.ok ?: false
        }
        if (winners >
            1
        ) {
            tally.violation("invariantViolations", "two changes won revision ${base + 1}")
        }
        if (winners == 1) monitor.accepted(base + 1)
    }

    private fun withEngine(fault: (String) -> Unit) {
        val id = fleet.engines.keys.filter { it !in fleet.faulty }.sorted().randomOrNull(random)
            ?: return
        fleet.faulty += id
        try {
            fault(id)
        } finally {
            fleet.faulty -= id
        }
    }

    /** A node without a fault; at least one other stays without, so that callers have an entry. */
    private fun pickNode(): String? = synchronized(fleet) {
        val sound = fleet.nodes.keys.filter { it !in fleet.faulty && it !in fleet.draining }
        if (sound.size < 2) null else sound.sorted().random(random)
    }

    private fun pause(fromSeconds: Int, untilSeconds: Int) {
        val millis = random.nextLong(fromSeconds * MILLIS, untilSeconds * MILLIS + 1)
        Thread.sleep(millis)
    }

    private companion object {
        const val MILLIS = 1_000L

        // Keep time, its margin, the longest deadline, and the start of the hook.
        val DRAIN_LIMIT = 45.seconds
    }
}
