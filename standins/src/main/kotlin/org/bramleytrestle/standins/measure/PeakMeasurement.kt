package org.bramleytrestle.standins.measure

import java.nio.file.Path
import kotlin.random.Random

/** Share of admitted short requests inside their deadline while load is 3 times the mean. */
internal class PeakMeasurement(private val home: Path) {
    private class Outcome(
        val share: Double,
        val admitted: Int,
        val refused: Int,
        val slowest: Double
    )

    private val engines = heterogeneousEngines()

    fun run(seed: Long): MeasureReport {
        val baseline = measure("baseline", seed)
        val standard = measure("standard", seed)
        return MeasureReport(
            figure = standard.share,
            unit = "share",
            baseline = baseline.share,
            bound = 1.0,
            ratio = standard.share,
            target = TARGET,
            met = standard.share >= TARGET && standard.slowest <= REFUSAL_MILLIS,
            seed = seed,
            detail = mapOf(
                "admitted" to standard.admitted.toDouble(),
                "refusedNotRun" to standard.refused.toDouble(),
                "refusalP95Millis" to standard.slowest,
                "baselineAdmitted" to baseline.admitted.toDouble()
            )
        )
    }

    private fun measure(routing: String, seed: Long): Outcome =
        MeasureFleet(home, routing, MEASURE_SETTINGS).use { fleet ->
            fleet.start(engines)
            val mean = tokenBound(engines) / TOKENS * MEAN_SHARE
            fun phase(seconds: Double, factor: Double) =
                LoadPhase(seconds, mean * factor, MODEL, TOKENS, DEADLINE_MILLIS)
            val phases = listOf(phase(6.0, 1.0), phase(5.0, PEAK), phase(4.0, 1.0))
            val load = OpenLoopLoad(StreamCaller(MODEL, LAYERS), fleet.entries)
            val streams = load.run(phases, Random(seed))
            val (refused, admitted) = streams.partition { it.notRun }
            val inTime = admitted.count { it.completed && it.totalMillis <= DEADLINE_MILLIS }
            println("$routing: ${streams.groupingBy { it.failure ?: "completed" }.eachCount()}")
            Outcome(
                share = inTime.toDouble() / admitted.size,
                admitted = admitted.size,
                refused = refused.size,
                slowest = percentile(refused.map { it.totalMillis }, P95)
            )
        }

    private companion object {
        const val TARGET = 0.95
        const val TOKENS = 16
        const val PEAK = 3.0
        const val P95 = 0.95

        // Mean load at 60% of the bound, so that the peak is 1.8 times what the engines can do.
        const val MEAN_SHARE = 0.6
        const val DEADLINE_MILLIS = 3_000L

        // "At once": a refusal takes no longer than one snapshot interval.
        const val REFUSAL_MILLIS = 200.0
    }
}
