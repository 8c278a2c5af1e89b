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

/** Watches revisions and invariant counters from outside while a soak run goes on. */
internal class SoakMonitor(private val fleet: SoakFleet, private val tally: SoakTally) : Runnable {
    private val lastRevision = HashMap<String, Pair<Long, Long>>()
    private val counted = HashMap<String, Long>()
    private val accepted = ConcurrentHashMap<Long, TimeMark>()

    @Volatile
    var stop = false

    /** Revision [revision] was accepted just now. */
    fun accepted(revision: Long) {
        accepted[revision] = TimeSource.Monotonic.markNow()
    }

    override fun run() {
        while (!stop) {
            for (id in fleet.nodes.keys) check(id)
            for (id in fleet.engines.keys) checkEngine(id)
            Thread.sleep(INTERVAL_MILLIS)
        }
    }

    private fun check(id: String) {
        val process = fleet.nodes[id] ?: return
        val due = accepted.filterValues { it.elapsedNow() > IN_FORCE_WITHIN }.keys.maxOrNull()
        val reachable = id !in fleet.faulty
        val status = try {
            val headers = mapOf("Authorization" to "Bearer ${FleetLauncher.TOKEN}")
            val url = "${fleet.launcher.operators(id)}/admin/status"
            fleet.launcher.http.get(url, headers).jsonObject
        } catch (e: IOException) {
            return
        }
        val revision = status.getValue("revision").jsonPrimitive.long
        val last = lastRevision.put(id, process.pid to revision)
        if (last != null && last.first == process.pid && revision < last.second) {
            tally.violation("reverts", "$id went from ${last.second} to $revision")
        }
        // A node that a fault touched meanwhile has its time from then on.
        if (due != null && revision < due && reachable && id !in fleet.faulty &&
            fleet.healthyFor(id) > IN_FORCE_WITHIN
        ) {
            tally.violation("reverts", "$id has $revision, $due was accepted over 5 s ago")
            accepted.keys.removeIf { it <= due }
        }
        val violations = status.getValue("invariantViolations").jsonPrimitive.long
        countNew("$id/${process.pid}", violations, "node $id")
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
        countNew(id, counts.getValue("violations").jsonPrimitive.long, "engine $id")
    }

    private fun countNew(key: String, total: Long, who: String) {
        val before = counted.put(key, total) ?: 0
        repeat((total - before).toInt()) { tally.violation("invariantViolations", who) }
    }

    private companion object {
        const val INTERVAL_MILLIS = 250L
        val IN_FORCE_WITHIN = 5.seconds
    }
}
