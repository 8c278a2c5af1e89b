package org.bramleytrestle.standins.measure

import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.random.Random

/**
 * Measures head-of-line blocking: the p99 time to first token of short requests with long-running
 * requests in the background, relative to that without them.
 */
internal class BlockingMeasurement(private val home: Path) {
    private class Outcome(val p99Without: Double, val p99With: Double) {
        val ratio: Double get() = p99With / p99Without
    }

    private val engines = heterogeneousEngines()

    fun run(seed: Long): MeasureReport {
        val baseline = measure("baseline", seed)
        val standard = measure("standard", seed)
        return MeasureReport(
            figure = standard.ratio,
            unit = "ratio",
            baseline = baseline.ratio,
            bound = 1.0,
            ratio = standard.ratio,
            target = TARGET,
            met = standard.ratio <= TARGET,
            seed = seed,
            detail = mapOf(
                "p99WithoutMillis" to standard.p99Without,
                "p99WithMillis" to standard.p99With,
                "baselineP99WithoutMillis" to baseline.p99Without,
                "baselineP99WithMillis" to baseline.p99With
            )
        )
    }

    private fun measure(routing: String, seed: Long): Outcome =
        MeasureFleet(home, routing, MEASURE_SETTINGS).use { fleet ->
            fleet.start(engines)
            val shortPerSecond = tokenBound(engines) / SHORT_TOKENS * SHORT_LOAD_RATIO
            val shortPhase =
                LoadPhase(PHASE_SECONDS, shortPerSecond, MODEL, SHORT_TOKENS, DEADLINE_MILLIS)
            val load = OpenLoopLoad(StreamCaller(MODEL, LAYERS), fleet.entries)
            load.run(listOf(shortPhase.copy(seconds = WARM_UP_SECONDS)), Random(seed))
            val withoutStragglers = load.run(listOf(shortPhase), Random(seed))
            val stragglerExecutor = Executors.newSingleThreadExecutor()
            val stragglerPhase =
                LoadPhase(PHASE_SECONDS, LONG_PER_SECOND, "season", LONG_TOKENS, DEADLINE_MILLIS)
            val background = stragglerExecutor.submit(
                Callable {
                    OpenLoopLoad(StreamCaller(MODEL, LAYERS), fleet.entries)
                        .run(listOf(stragglerPhase), Random(seed + 1))
                }
            )
            val withStragglers = load.run(listOf(shortPhase), Random(seed))
            val outcome = Outcome(p99(withoutStragglers), p99(withStragglers))
            val counts = background.get().groupingBy { it.failure ?: "completed" }.eachCount()
            println(
                "$routing: stragglers $counts, " +
                    "waits ${outcome.p99Without} and ${outcome.p99With} ms"
            )
            stragglerExecutor.shutdown()
            outcome
        }

    /** Requests without a token, such as refused ones, count with a wait of the full deadline. */
    private fun p99(streams: List<MeasuredStream>): Double =
        percentile(streams.map { it.waitMillis ?: DEADLINE_MILLIS.toDouble() }, P99)

    private companion object {
        const val TARGET = 1.5
        const val SHORT_TOKENS = 8
        const val SHORT_LOAD_RATIO = 0.4
        const val LONG_TOKENS = 400
        const val LONG_PER_SECOND = 4.0
        const val PHASE_SECONDS = 10.0
        const val WARM_UP_SECONDS = 5.0
        const val DEADLINE_MILLIS = 30_000L
        const val P99 = 0.99
    }
}
