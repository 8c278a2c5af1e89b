package org.bramleytrestle.standins.measure

import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.random.Random

/** p99 wait of short work with stragglers, over that without. */
internal class BlockingMeasurement(private val home: Path) {
    private class Outcome(val without: Double, val with: Double) {
        val ratio: Double get() = with / without
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
                "p99WithoutMillis" to standard.without,
                "p99WithMillis" to standard.with,
                "baselineP99WithoutMillis" to baseline.without,
                "baselineP99WithMillis" to baseline.with
            )
        )
    }

    private fun measure(routing: String, seed: Long): Outcome =
        MeasureFleet(home, routing, MEASURE_SETTINGS).use { fleet ->
            fleet.start(engines)
            val perSecond = tokenBound(engines) / SHORT_TOKENS * SHORT_SHARE
            val short = LoadPhase(SECONDS, perSecond, MODEL, SHORT_TOKENS, DEADLINE_MILLIS)
            val load = OpenLoopLoad(StreamCaller(MODEL, LAYERS), fleet.entries)
            load.run(listOf(short.copy(seconds = WARM_UP_SECONDS)), Random(seed))
            val without = load.run(listOf(short), Random(seed))
            val stragglers = Executors.newSingleThreadExecutor()
            val long = LoadPhase(SECONDS, LONG_PER_SECOND, "season", LONG_TOKENS, DEADLINE_MILLIS)
            val background = stragglers.submit(
                Callable {
                    OpenLoopLoad(StreamCaller(MODEL, LAYERS), fleet.entries)
                        .run(listOf(long), Random(seed + 1))
                }
            )
            val with = load.run(listOf(short), Random(seed))
            val outcome = Outcome(p99(without), p99(with))
            val ended = background.get().groupingBy { it.failure ?: "completed" }.eachCount()
            println("$routing: stragglers $ended, waits ${outcome.without} and ${outcome.with} ms")
            stragglers.shutdown()
            outcome
        }

    /** Refused requests waited in vain and count with the deadline. */
    private fun p99(streams: List<MeasuredStream>): Double =
        percentile(streams.map { it.waitMillis ?: DEADLINE_MILLIS.toDouble() }, P99)

    private companion object {
        const val TARGET = 1.5
        const val SHORT_TOKENS = 8
        const val SHORT_SHARE = 0.4
        const val LONG_TOKENS = 400
        const val LONG_PER_SECOND = 4.0
        const val SECONDS = 10.0
        const val WARM_UP_SECONDS = 5.0
        const val DEADLINE_MILLIS = 30_000L
        const val P99 = 0.99
    }
}
