package org.bramleytrestle.standins.measure

import java.nio.file.Path
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/**
 * Measures the time from the failure of an engine until its streams receive tokens again, once for
 * a killed engine and once for one that is suspended with its connections open.
 */
internal class RecoveryMeasurement(private val home: Path) {
    private class Outcome(val gaps: List<Double>, val lost: Int)

    private val engines = heterogeneousEngines(MICROS_PER_LAYER, MICROS_PER_LAYER, SLOTS)

    fun run(seed: Long): MeasureReport {
        val baseline = measure("baseline", freeze = false, seed)
        val killed = measure("standard", freeze = false, seed)
        val frozen = measure("standard", freeze = true, seed)
        val figure = (killed.gaps + frozen.gaps).maxOrNull() ?: Double.NaN
        val lost = killed.lost + frozen.lost
        return MeasureReport(
            figure = figure,
            unit = "ms",
            baseline = baseline.gaps.maxOrNull() ?: Double.NaN,
            bound = BOUND_MILLIS,
            ratio = figure / BOUND_MILLIS,
            target = 1.0,
            met = figure <= BOUND_MILLIS && lost == 0,
            seed = seed,
            detail = mapOf(
                "streamsLost" to lost.toDouble(),
                "baselineStreamsLost" to baseline.lost.toDouble(),
                "killedP50" to percentile(killed.gaps, MEDIAN),
                "killedMax" to percentile(killed.gaps, 1.0),
                "frozenP50" to percentile(frozen.gaps, MEDIAN),
                "frozenMax" to percentile(frozen.gaps, 1.0)
            )
        )
    }

    private fun measure(routing: String, freeze: Boolean, seed: Long): Outcome =
        MeasureFleet(home, routing, MEASURE_SETTINGS).use { fleet ->
            fleet.start(engines, separateProcesses = true)
            val streams = ConcurrentLinkedQueue<MeasuredStream>()
            val caller = StreamCaller(MODEL, LAYERS)
            val random = Random(seed)
            val stop = System.nanoTime() + RUN_NANOS
            val threads = List(CALLERS) { i ->
                val own = Random(random.nextLong())
                val entry = fleet.entries[i % fleet.entries.size]
                thread {
                    while (System.nanoTime() < stop) {
                        val text = "question ${own.nextInt()}"
                        streams += caller.call(entry, MODEL, TOKENS, DEADLINE_MILLIS, text)
                    }
                }
            }
            Thread.sleep(FAILURE_DELAY_MILLIS)
            val failingProcess = fleet.launcher.process(busiestEngine(fleet))
            val failedAt = System.nanoTime()
            if (freeze) failingProcess.pause() else failingProcess.kill()
            threads.forEach { it.join() }
            if (freeze) failingProcess.resume()
            val lost = streams.count { !it.completed || !it.correct }
            val openStreams = streams.filter { it.sentNanos < failedAt && it.endNanos > failedAt }
            // Streams on other chains have gaps of one token interval, which are not recoveries.
            val gaps = openStreams.mapNotNull { it.gapAcrossMillis(failedAt) }
                .filter { it > TOKEN_INTERVAL_MILLIS * 2 }
            println(
                "$routing freeze=$freeze: ${openStreams.size} open, ${gaps.size} hit, $lost lost"
            )
            Outcome(gaps, lost)
        }

    /** Returns the engine of the last layer range with the most requests, to affect streams. */
    private fun busiestEngine(fleet: MeasureFleet): String = engines
        .filter { it.layers.from > 0 }
        .maxBy { engine ->
            val url = "${fleet.launcher.address(engine.id)}/standin/counts"
            fleet.launcher.http.get(url).jsonObject.getValue("activeRequests").jsonPrimitive.int
        }.id

    private companion object {
        const val MICROS_PER_LAYER = 2_000L
        const val SLOTS = 8
        const val CALLERS = 24
        const val TOKENS = 90
        const val DEADLINE_MILLIS = 30_000L
        const val RUN_NANOS = 12_000_000_000L
        const val FAILURE_DELAY_MILLIS = 6_000L
        const val MEDIAN = 0.5
        const val TOKEN_INTERVAL_MILLIS = MICROS_PER_LAYER * LAYERS / 1_000.0

        // Two heartbeat intervals of 500 ms and one interval of the snapshot publisher.
        const val BOUND_MILLIS = 1_200.0
    }
}
