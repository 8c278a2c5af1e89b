package org.bramleytrestle.standins.soak

import java.nio.file.Files
import java.nio.file.Path
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.system.exitProcess
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.bramleytrestle.standins.fleet.FleetLauncher

private const val CALLERS = 12
private const val SETTLE_MILLIS = 2_000L
private const val EXIT_USAGE = 2

/** Runs a fleet under random faults from a seed and prints the JSON report as the last line. */
public fun main(args: Array<String>) {
    val parser = ArgParser("soak")
    val home by parser.option(ArgType.String, "home").default(".")
    val seed by parser.option(ArgType.Int, "seed").default(1)
    val seconds by parser.option(ArgType.Int, "seconds").default(60)
    val faults by parser.option(
        ArgType.String,
        "faults",
        description = "Comma-separated fault names; default: all; none: no faults"
    ).default("all")
    parser.parse(args)
    val workDirectory = Files.createTempDirectory("bramleytrestle-soak")
    println("soak: logs in $workDirectory")
    val report = FleetLauncher(Path.of(home).toAbsolutePath().normalize(), workDirectory).use {
        Soak(it, seed.toLong(), faults).run(seconds.seconds)
    }
    println(Json.encodeToString(SoakReport.serializer(), report))
    exitProcess(if (report.passed) 0 else 1)
}

private class Soak(launcher: FleetLauncher, seed: Long, private val faultNames: String) {
    private val random = Random(seed)
    private val fleet = SoakFleet(launcher)
    private val results = SoakResults(seed)
    private val monitor = SoakMonitor(fleet, results)
    private val faults = SoakFaults(fleet, results, monitor, Random(seed + 1))

    fun run(length: Duration): SoakReport {
        val selected = selectedFaults()
        fleet.start()
        applySettings()
        val callers = List(CALLERS) { SoakCaller(it, fleet, results, Random(random.nextLong())) }
        val threads = callers.map { thread(block = it::run) } + thread(block = monitor::run)
        val start = TimeSource.Monotonic.markNow()
        val activeFaults = mutableListOf<Thread>()
        while (start.elapsedNow() < length) {
            activeFaults.removeIf { !it.isAlive }
            // At most two concurrent faults, so that most requests still have a route.
            if (activeFaults.size < MAX_ACTIVE_FAULTS && selected.isNotEmpty()) {
                activeFaults += inject(selected.random(random))
            }
            Thread.sleep(random.nextLong(MIN_INTERVAL_MILLIS, MAX_INTERVAL_MILLIS))
        }
        activeFaults.forEach { it.join() }
        callers.forEach { it.stop = true }
        Thread.sleep(SETTLE_MILLIS)
        monitor.stop = true
        threads.forEach { it.join() }
        checkBookings()
        results.violationDetails().forEach { println("soak: $it") }
        return results.report()
    }

    private fun selectedFaults(): List<Pair<String, () -> Unit>> = when (faultNames) {
        "all" -> faults.all.toList()
        "none" -> emptyList()
        else -> faultNames.split(',').map { name ->
            val fault = faults.all[name]
            if (fault == null) {
                System.err.println("--faults: got $name, expected ${faults.all.keys}")
                exitProcess(EXIT_USAGE)
            }
            name to fault
        }
    }

    private fun inject(fault: Pair<String, () -> Unit>): Thread = thread {
        println("soak: fault ${fault.first}")
        results.count(SoakResults.FAULT_PREFIX + fault.first)
        fault.second()
    }

    private fun applySettings() {
        val (exit, output) = fleet.launcher.bramleyctl(
            "node-1",
            "apply",
            "--reason",
            "soak",
            "--wait",
            "${fleet.launcher.home.resolve("examples/settings.yaml")}"
        )
        check(exit == 0) { "bramleyctl apply ended with $exit: $output" }
    }

    /** Checks that no booking ran twice, no refused one ran and every confirmed one ran. */
    private fun checkBookings() {
        val runs = HashMap<String, Int>()
        for (id in fleet.services.keys) {
            val counts = fleet.launcher.http.get("${fleet.address(id)}/standin/runs").jsonObject
            counts.forEach { (booking, count) ->
                runs.merge(booking, count.jsonPrimitive.int, Int::plus)
            }
        }
        runs.filterValues { it > 1 }.forEach { (booking, count) ->
            results.recordViolation("duplicateRuns", "$booking ran $count times")
        }
        fleet.refusedBookings.filter { it in runs }.forEach {
            results.recordViolation("invariantViolations", "$it was refused as not run but ran")
        }
        fleet.confirmedBookings.filter { it !in runs }.forEach {
            results.recordViolation("invariantViolations", "$it was confirmed but did not run")
        }
    }

    private companion object {
        const val MAX_ACTIVE_FAULTS = 2
        const val MIN_INTERVAL_MILLIS = 500L
        const val MAX_INTERVAL_MILLIS = 3_000L
    }
}
