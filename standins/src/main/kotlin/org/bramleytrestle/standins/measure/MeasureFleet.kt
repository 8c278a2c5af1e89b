package org.bramleytrestle.standins.measure

import java.nio.file.Files
import java.nio.file.Path
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import org.bramleytrestle.standins.fleet.EngineSpec
import org.bramleytrestle.standins.fleet.FleetLauncher

/**
 * A small fleet for one measurement.
 *
 * @property routing `standard`, or `baseline` for round robin, one FIFO queue and no limits.
 */
internal class MeasureFleet(home: Path, private val routing: String, private val settings: String) :
    AutoCloseable {
    private val work = Files.createTempDirectory("bramleytrestle-measure")
    val launcher = FleetLauncher(home, work)

    val entries: List<String> get() = (1..NODES).map { launcher.callerUrl("node-$it") }

    /** Starts engines in one process, or one by one where a measurement kills some of them. */
    fun start(engines: List<EngineSpec>, separate: Boolean = false) {
        launcher.startPlatform()
        if (separate) {
            engines.forEach {
                launcher.startEngine(it)
            }
        } else {
            launcher.startEngines(engines)
        }
        for (i in 1..NODES) launcher.startNode("node-$i", "dc1", "routing: $routing")
        val file = work.resolve("settings.yaml")
        Files.writeString(file, settings)
        val (exit, output) =
            launcher.bramleyctl("node-1", "apply", "--reason", "measure", "--wait", "$file")
        check(exit == 0) { "bramleyctl apply ended with $exit: $output" }
        awaitReports(engines.size)
    }

    /** Until every node has heard the load of every engine. */
    private fun awaitReports(engines: Int) {
        val headers = mapOf("Authorization" to "Bearer ${FleetLauncher.TOKEN}")
        for (i in 1..NODES) {
            val url = "${launcher.operatorUrl("node-$i")}/admin/status"
            repeat(ATTEMPTS) {
                val servers = launcher.http.get(
                    url,
                    headers
                ).jsonObject.getValue("servers").jsonArray
                val known = servers.count { "\"running\":null" !in it.toString() }
                if (known >= engines) return@repeat
                Thread.sleep(POLL_MILLIS)
            }
        }
    }

    override fun close() = launcher.close()

    private companion object {
        const val NODES = 2
        const val ATTEMPTS = 60
        const val POLL_MILLIS = 100L
    }
}
