package org.bramleytrestle.standins.soak

import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.bramleytrestle.standins.fleet.FleetLauncher

/** Polls settings revisions and violation counters of all nodes and engines during a soak run. */
internal class SoakMonitor(private val fleet: SoakFleet, private val results: SoakResults) :
    Runnable {
    private val lastRevision = HashMap<String, Pair<Long, Long>>()
    private val lastViolations = HashMap<String, Long>()
    private val acceptedAt = ConcurrentHashMap<Long, TimeMark>()

    @Volatile
    var stop = false

    /** Records that [revision] was accepted now. */
    fun revisionAccepted(revision: Long) {
        acceptedAt[revision] = TimeSource.Monotonic.markNow()
    }

    override fun run() {
        while (!stop) {
            for (id in fleet.nodes.keys) checkNode(id)
            for (id in fleet.engines.keys) checkEngine(id)
            Thread.sleep(INTERVAL_MILLIS)
        }
    }

    private fun checkNode(id: String) {
        val process = fleet.nodes[id] ?: return
        val expectedRevision = acceptedAt
            .filterValues { it.elapsedNow() > PROPAGATION_LIMIT }
            .keys.maxOrNull()
        val healthyBefore = id !in fleet.faulty
        val status = try {
            val headers = mapOf("Authorization" to "Bearer ${FleetLauncher.TOKEN}")
            val url = "${fleet.launcher.operatorUrl(id)}/admin/status"
            fleet.launcher.http.get(url, headers).jsonObject
        } catch (e: IOException) {
            return
        }
        val revision = status.getValue("revision").jsonPrimitive.long
        val last = lastRevision.put(id, process.pid to revision)
        if (last != null && last.first == process.pid && revision < last.second) {
            results.recordViolation("reverts", "$id went from revision ${last.second} to $revision")
        }
        // After a fault, the limit for a node starts at its recovery.
        if (expectedRevision != null && revision < expectedRevision && healthyBefore &&
            id !in fleet.faulty && fleet.timeSinceRecovery(id) > PROPAGATION_LIMIT
        ) {
            results.recordViolation(
                "reverts",
                "$id has revision $revision; $expectedRevision was accepted over 5 s ago"
            )
            acceptedAt.keys.removeIf { it <= expectedRevision }
        }
        val violations = status.getValue("invariantViolations").jsonPrimitive.long
        recordNewViolations("$id/${process.pid}", violations, "node $id")
    }

    private fun checkEngine(id: String) {
        if (id in fleet.faulty) return
        val counts = try {
            fleet.launcher.http.get("${fleet.address(id)}/standin/counts").jsonObject
        } catch (e: IOException) {
            return
        } catch (e: NoSuchElementException) {
            return
        }
        recordNewViolations(id, counts.getValue("violations").jsonPrimitive.long, "engine $id")
    }

    private fun recordNewViolations(key: String, total: Long, source: String) {
        val before = lastViolations.put(key, total) ?: 0
        repeat((total - before).toInt()) { results.recordViolation("invariantViolations", source) }
    }

    private companion object {
        const val INTERVAL_MILLIS = 250L
        val PROPAGATION_LIMIT = 5.seconds
    }
}
