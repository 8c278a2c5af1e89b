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

/** Runs a fleet under random faults from a seed; the last line printed is the JSON report. */
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
    val work = Files.createTempDirectory("bramleytrestle-soak")
    println("soak: logs in $work")
    val report = FleetLauncher(Path.of(home).toAbsolutePath().normalize(), work).use {
        Soak(it, seed.toLong(), faults).run(seconds.seconds)
    }
    println(Json.encodeToString(SoakReport.serializer(), report))
    exitProcess(if (report.passed) 0 else 1)
}

private class Soak(launcher: FleetLauncher, seed: Long, private val faultNames: String) {
    private val random = Random(seed)
    private val fleet = SoakFleet(launcher)
    private val tally = SoakTally(seed)
    private val monitor = SoakMonitor(fleet, tally)
    private val faults = SoakFaults(fleet, tally, monitor, Random(seed + 1))

    fun run(length: Duration): SoakReport {
        val chosen = chosenFaults()
        fleet.start()
        applySettings()
        val callers = List(CALLERS) { SoakCaller(it, fleet, tally, Random(random.nextLong())) }
        val threads = callers.map { thread(block = it::run) } + thread(block = monitor::run)
        val start = TimeSource.Monotonic.markNow()
        val running = mutableListOf<Thread>()
        while (start.elapsedNow() < length) {
            running.removeIf { !it.isAlive }
            // At most two faults at a time, so that a route stays for most requests.
            if (running.size < MAX_FAULTS && chosen.isNotEmpty()) {
                running += inject(chosen.random(random))
            }
            Thread.sleep(random.nextLong(MIN_GAP_MILLIS, MAX_GAP_MILLIS))
        }
        running.forEach { it.join() }
        callers.forEach { it.stop = true }
        Thread.sleep(SETTLE_MILLIS)
        monitor.stop = true
        threads.forEach { it.join() }
        checkBookings()
        tally.details().forEach { println("soak: $it") }
        return tally.report()
    }

    private fun chosenFaults(): List<Pair<String, () -> Unit>> = when (faultNames) {
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
        tally.count(SoakTally.FAULT + fault.first)
        fault.second()
    }

    private fun applySettings() {
        val (exit, output) = fleet.launcher.ctl(
            "node-1",
            "apply",
            "--reason",
            "soak",
            "--wait",
            "${fleet.launcher.home.resolve("examples/settings.yaml")}"
        )
        check(exit == 0) { "bramleyctl apply ended with $exit: $output" }
    }

    /** Bookings ran at most once, those refused as not run never, and those confirmed once. */
    private fun checkBookings() {
        val runs = HashMap<String, Int>()
        for (id in fleet.services.keys) {
            val counts = fleet.launcher.http.get("${fleet.address(id)}/standin/runs").jsonObject
            counts.forEach { (booking, count) ->
                runs.merge(booking, count.jsonPrimitive.int, Int::plus)
            }
        }
        runs.filterValues { it > 1 }.forEach { (booking, count) ->
            tally.violation("duplicateRuns", "$booking ran $count times")
        }
        fleet.refusedBookings.filter { it in runs }.forEach {
            tally.violation("invariantViolations", "$it was refused as not run and ran")
        }
        fleet.confirmedBookings.filter { it !in runs }.forEach {
            tally.violation("invariantViolations", "$it was confirmed and did not run")
        }
    }

    private companion object {
        const val MAX_FAULTS = 2
        const val MIN_GAP_MILLIS = 500L
        const val MAX_GAP_MILLIS = 3_000L
    }
}
