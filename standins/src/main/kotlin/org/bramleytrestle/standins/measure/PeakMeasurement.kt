package org.bramleytrestle.standins.measure

import java.nio.file.Path
import kotlin.random.Random

/**
 * Measures the share of admitted short requests that meet their deadline under a load peak of 3
 * times the mean.
 */
internal class PeakMeasurement(private val home: Path) {
    private class Outcome(
        val inTimeShare: Double,
        val admitted: Int,
        val refused: Int,
        val refusalP95Millis: Double
    )

    private val engines = heterogeneousEngines()

    fun run(seed: Long): MeasureReport {
        val baseline = measure("baseline", seed)
        val standard = measure("standard", seed)
        return MeasureReport(
            figure = standard.inTimeShare,
            unit = "share",
            baseline = baseline.inTimeShare,
            bound = 1.0,
            ratio = standard.inTimeShare,
            target = TARGET,
            met = standard.inTimeShare >= TARGET && standard.refusalP95Millis <= MAX_REFUSAL_MILLIS,
            seed = seed,
            detail = mapOf(
                "admitted" to standard.admitted.toDouble(),
                "refusedNotRun" to standard.refused.toDouble(),
                "refusalP95Millis" to standard.refusalP95Millis,
                "baselineAdmitted" to baseline.admitted.toDouble()
            )
        )
    }

    private fun measure(routing: String, seed: Long): Outcome =
        MeasureFleet(home, routing, MEASURE_SETTINGS).use { fleet ->
            fleet.start(engines)
            val mean = tokenBound(engines) / TOKENS * MEAN_LOAD_RATIO
            fun phase(seconds: Double, factor: Double) =
                LoadPhase(seconds, mean * factor, MODEL, TOKENS, DEADLINE_MILLIS)
            val phases = listOf(phase(6.0, 1.0), phase(5.0, PEAK_FACTOR), phase(4.0, 1.0))
            val load = OpenLoopLoad(StreamCaller(MODEL, LAYERS), fleet.entries)
            val streams = load.run(phases, Random(seed))
            val (refused, admitted) = streams.partition { it.notRun }
            val inTime = admitted.count { it.completed && it.totalMillis <= DEADLINE_MILLIS }
            println("$routing: ${streams.groupingBy { it.failure ?: "completed" }.eachCount()}")
            Outcome(
                inTimeShare = inTime.toDouble() / admitted.size,
                admitted = admitted.size,
                refused = refused.size,
                refusalP95Millis = percentile(refused.map { it.totalMillis }, P95)
            )
        }

    private companion object {
        const val TARGET = 0.95
        const val TOKENS = 16
        const val PEAK_FACTOR = 3.0
        const val P95 = 0.95

        // Mean load is 60% of the bound, so the peak is 1.8 times the capacity of the engines.
        const val MEAN_LOAD_RATIO = 0.6
        const val DEADLINE_MILLIS = 3_000L

        // Limit for an immediate refusal: one snapshot interval.
        const val MAX_REFUSAL_MILLIS = 200.0
    }
}
