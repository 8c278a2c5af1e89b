package org.bramleytrestle.standins.measure

import java.nio.file.Files
import java.nio.file.Path
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import org.bramleytrestle.standins.fleet.EngineSpec
import org.bramleytrestle.standins.fleet.FleetLauncher

/**
 * A fleet of two nodes for one measurement.
 *
 * @property routing `standard`, or `baseline` for round robin, one FIFO queue and no limits.
 */
internal class MeasureFleet(home: Path, private val routing: String, private val settings: String) :
    AutoCloseable {
    private val workDirectory = Files.createTempDirectory("bramleytrestle-measure")
    val launcher = FleetLauncher(home, workDirectory)

    val entries: List<String> get() = (1..NODES).map { launcher.callerUrl("node-$it") }

    /** Starts all engines in one process, or each in its own so that a measurement can stop it. */
    fun start(engines: List<EngineSpec>, separateProcesses: Boolean = false) {
        launcher.startPlatform()
        if (separateProcesses) {
            engines.forEach { launcher.startEngine(it) }
        } else {
            launcher.startEngines(engines)
        }
        for (i in 1..NODES) launcher.startNode("node-$i", "dc1", "routing: $routing")
        val file = workDirectory.resolve("settings.yaml")
        Files.writeString(file, settings)
        val (exit, output) =
            launcher.bramleyctl("node-1", "apply", "--reason", "measure", "--wait", "$file")
        check(exit == 0) { "bramleyctl apply ended with $exit: $output" }
        awaitReports(engines.size)
    }

    /** Polls each node until it has a load report of every engine, at most [MAX_POLLS] times. */
    private fun awaitReports(engines: Int) {
        val headers = mapOf("Authorization" to "Bearer ${FleetLauncher.TOKEN}")
        for (i in 1..NODES) {
            val url = "${launcher.operatorUrl("node-$i")}/admin/status"
            repeat(MAX_POLLS) {
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
        const val MAX_POLLS = 60
        const val POLL_MILLIS = 100L
    }
}
