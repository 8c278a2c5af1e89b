package org.bramleytrestle.standins.soak

import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.bramleytrestle.standins.fleet.FleetLauncher

/** Faults of a soak run. Each selects a random target from the seed and is reverted at its end. */
internal class SoakFaults(
    private val fleet: SoakFleet,
    private val results: SoakResults,
    private val monitor: SoakMonitor,
    private val random: Random
) {
    private val http = fleet.launcher.http
    private val client = SoakClient()

    /** All faults by their name in `--faults`. */
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
        val id = randomHealthyNode() ?: return
        fleet.faulty += id
        fleet.nodes.getValue(id).kill()
        sleepSeconds(1, 3)
        restartNode(id)
    }

    private fun freezeNode() {
        val id = randomHealthyNode() ?: return
        fleet.faulty += id
        val process = fleet.nodes.getValue(id)
        process.pause()
        sleepSeconds(1, 5)
        process.resume()
        sleepSeconds(1, 1)
        fleet.markRecovered(id)
    }

    private fun drainNode() {
        val id = randomHealthyNode() ?: return
        fleet.draining += id
        val exited = fleet.nodes.getValue(id).terminate(DRAIN_TIMEOUT)
        if (!exited) results.recordViolation("cutByDrain", "$id did not exit within $DRAIN_TIMEOUT")
        // The replacement has the same id and counts as faulty until it is ready.
        fleet.faulty += id
        fleet.draining -= id
        restartNode(id)
    }

    private fun restartNode(id: String) {
        try {
            fleet.startNode(id)
        } catch (e: IllegalStateException) {
            // The node cannot become ready while the platform is down and no peer has its state;
            // callers do not use it until then.
            println("soak: $id is not ready yet: ${e.message}")
        }
        fleet.markRecovered(id)
    }

    private fun killEngine() = withEngine { id ->
        fleet.engines.getValue(id).kill()
        sleepSeconds(1, 3)
        fleet.replaceEngine(id)
    }

    private fun freezeEngine() = withEngine { id ->
        val process = fleet.engines.getValue(id)
        process.pause()
        sleepSeconds(2, 6)
        process.resume()
    }

    private fun drainEngine() = withEngine { id ->
        if (random.nextBoolean()) {
            http.put("${fleet.address(id)}/standin/leaving", "{}")
        } else {
            fleet.registerAsLeaving(id)
        }
        sleepSeconds(3, 6)
        fleet.replaceEngine(id)
    }

    private fun engineFault(faults: String) = withEngine { id ->
        http.put("${fleet.address(id)}/standin/faults", faults)
        sleepSeconds(2, 6)
        // An engine with a freeze fault is replaced, as a platform would do, instead of reset.
        if ("freeze" in faults) {
            fleet.replaceEngine(id)
        } else {
            http.put("${fleet.address(id)}/standin/faults", "{}")
        }
    }

    private fun serviceFault(faults: String) {
        val id = fleet.services.keys.sorted().random(random)
        http.put("${fleet.address(id)}/standin/faults", faults)
        sleepSeconds(2, 6)
        http.put("${fleet.address(id)}/standin/faults", "{}")
    }

    private fun platformFault(faults: String) {
        val url = "${fleet.launcher.platform}/standin/faults"
        http.put(url, faults)
        sleepSeconds(3, 10)
        http.put(url, "{}")
    }

    /** Submits two changes of the same setting and base revision through two nodes. */
    private fun operatorRace() {
        val ids = fleet.nodes.keys.filter { it !in fleet.faulty && it !in fleet.draining }.sorted()
        if (ids.size < 2) return
        val (one, two) = ids.shuffled(random).take(2)
        val auth = mapOf("Authorization" to "Bearer ${FleetLauncher.TOKEN}")
        val settings = client.get("${fleet.launcher.operatorUrl(one)}/admin/settings", auth)
        if (!settings.ok) return
        val base = Json.parseToJsonElement(settings.body).jsonObject.getValue("revision")
            .jsonPrimitive.long
        val share = random.nextDouble()
        val acceptedCount = listOf(one, two).map { node ->
            val result = arrayOfNulls<SoakClient.Reply>(1)
            val worker = thread {
                val body = """{"baseRevision":$base,"changeId":"race-$base-$node-$share",""" +
                    """"reason":"soak","patch":{"defaults":{"newShare":$share}}}"""
                val url = "${fleet.launcher.operatorUrl(node)}/admin/changes"
                result[0] = client.post(url, body, auth)
            }
            worker to result
        }.count { (worker, result) ->
            worker.join()
            result[0]?.ok ?: false
        }
        if (acceptedCount > 1) {
            results.recordViolation(
                "invariantViolations",
                "two changes were accepted as revision ${base + 1}"
            )
        }
        if (acceptedCount == 1) monitor.revisionAccepted(base + 1)
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

    /** Returns a random healthy node, or null if no other would remain as an entry for callers. */
    private fun randomHealthyNode(): String? = synchronized(fleet) {
        val healthy = fleet.nodes.keys.filter { it !in fleet.faulty && it !in fleet.draining }
        if (healthy.size < 2) null else healthy.sorted().random(random)
    }

    private fun sleepSeconds(fromSeconds: Int, untilSeconds: Int) {
        val millis = random.nextLong(fromSeconds * SECOND_MILLIS, untilSeconds * SECOND_MILLIS + 1)
        Thread.sleep(millis)
    }

    private companion object {
        const val SECOND_MILLIS = 1_000L

        // Keep time of entry lists and its margin, the longest deadline, and the start of the hook.
        val DRAIN_TIMEOUT = 45.seconds
    }
}
