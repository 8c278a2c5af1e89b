package org.bramleytrestle.standins.measure

import java.nio.file.Path
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread
import kotlin.random.Random

/** Measures output tokens per second with more callers than the engines have slots. */
internal class ThroughputMeasurement(private val home: Path) {
    private val engines = heterogeneousEngines()

    fun run(seed: Long): MeasureReport {
        val baseline = tokensPerSecond("baseline", seed)
        val figure = tokensPerSecond("standard", seed)
        val bound = tokenBound(engines)
        return MeasureReport(
            figure = figure,
            unit = "tokens/s",
            baseline = baseline,
            bound = bound,
            ratio = figure / bound,
            target = TARGET,
            met = figure / bound >= TARGET,
            seed = seed
        )
    }

    private fun tokensPerSecond(routing: String, seed: Long): Double =
        MeasureFleet(home, routing, MEASURE_SETTINGS).use { fleet ->
            fleet.start(engines)
            val streams = runClosedLoop(fleet, Random(seed))
            val windowStart = streams.minOf { it.sentNanos } + WARM_UP_NANOS
            val windowEnd = windowStart + WINDOW_NANOS
            val wrongCount = streams.count { it.completed && !it.correct }
            check(wrongCount == 0) {
                "$wrongCount completed answers differ from the reference model"
            }
            println("$routing: ${streams.groupingBy { it.failure ?: "completed" }.eachCount()}")
            streams.sumOf { s -> s.tokenNanos.count { it in windowStart..<windowEnd } } /
                (WINDOW_NANOS / NANOS_PER_SECOND)
        }

    private fun runClosedLoop(fleet: MeasureFleet, random: Random): List<MeasuredStream> {
        val results = ConcurrentLinkedQueue<MeasuredStream>()
        val caller = StreamCaller(MODEL, LAYERS)
        val stop = System.nanoTime() + WARM_UP_NANOS + WINDOW_NANOS + NANOS_PER_SECOND.toLong()
        val threads = List(CALLERS) { i ->
            val own = Random(random.nextLong())
            val entry = fleet.entries[i % fleet.entries.size]
            thread {
                while (System.nanoTime() < stop) {
                    val tokens = own.nextInt(MIN_TOKENS, MAX_TOKENS)
                    val text = "question ${own.nextInt()}"
                    results += caller.call(entry, MODEL, tokens, DEADLINE_MILLIS, text)
                }
            }
        }
        threads.forEach { it.join() }
        return results.toList()
    }

    private companion object {
        const val TARGET = 0.9
        const val CALLERS = 96
        const val MIN_TOKENS = 16
        const val MAX_TOKENS = 96
        const val DEADLINE_MILLIS = 30_000L
        const val NANOS_PER_SECOND = 1e9
        const val WARM_UP_NANOS = 6_000_000_000L
        const val WINDOW_NANOS = 12_000_000_000L
    }
}
