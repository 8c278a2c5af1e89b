package org.bramleytrestle.backend

import java.lang.management.ManagementFactory
import java.util.Locale
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.collect
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.ModelName
import org.bramleytrestle.model.RequestId
import org.bramleytrestle.model.StageHop
import org.bramleytrestle.standins.engine.EngineFaults

/**
 * Compares the runners on chains of stand-in engines in another process, so that the CPU
 * time of the engines is not counted. Recovery is measured with engines in this process. Prints one
 * JSON line per measurement. Arguments: seed, then the addresses of the chain's engines.
 */
internal class RunnerBenchmark(private val seed: Int, private val hops: List<StageHop>) {
    private val clock = TimeSource.Monotonic
    private var requests = 0

    fun run() {
        for (streams in WARM_UP_STREAMS) {
            RunnerKind.entries.forEach { kind -> throughput(kind, streams, report = false) }
        }
        for (streams in STREAMS) {
            RunnerKind.entries.forEach { kind -> throughput(kind, streams, report = true) }
        }
        recovery("engine-forwarded, new attempt", RunnerKind.ENGINE_FORWARDED, replace = false)
        recovery("node-driven, new attempt", RunnerKind.NODE_DRIVEN, replace = false)
        recovery("node-driven, failed range replaced", RunnerKind.NODE_DRIVEN, replace = true)
    }

    private fun throughput(kind: RunnerKind, streams: Int, report: Boolean) =
        Backends.http(THROUGHPUT_OPTIONS).use { backends ->
            val gaps = mutableListOf<Duration>()
            var tokens = 0
            val random = Random(seed)
            val cpuBefore = cpuNanos()
            val started = clock.markNow()
            runBlocking(Dispatchers.Default) {
                (0..<streams).map {
                    val works = List(ROUNDS) { work("bench ${random.nextInt()}") }
                    async { works.map { work -> gaps(backends.runner(kind), work) } }
                }.awaitAll().flatten().forEach {
                    gaps += it
                    tokens += it.size
                }
            }
            val elapsed = started.elapsedNow()
            val cpuMillis = (cpuNanos() - cpuBefore) / NANOS_PER_MILLI
            val calls = if (kind == RunnerKind.NODE_DRIVEN) hops.size.toDouble() else 0.0
            if (report) {
                print(
                    "measurement" to "throughput",
                    "runner" to kind.name,
                    "streams" to streams,
                    "tokens" to tokens,
                    "tokensPerSecond" to tokens / elapsed.toDouble(DurationUnit.SECONDS),
                    "gapMillisP50" to millis(gaps, 0.5),
                    "gapMillisP95" to millis(gaps, 0.95),
                    "callsPerToken" to calls + streams * ROUNDS.toDouble() / tokens,
                    "cpuMillisPer1000Tokens" to cpuMillis * THOUSAND / tokens
                )
            }
        }

    /** Time before each token of a response, including the first. */
    private suspend fun gaps(runner: ChainRunner, work: ChainWork): List<Duration> {
        val gaps = mutableListOf<Duration>()
        var last = clock.markNow()
        runner.run(work).collect { event ->
            check(event !is StreamEvent.Failed) { "$event" }
            if (event is StreamEvent.Token) {
                gaps += last.elapsedNow()
                last = clock.markNow()
            }
        }
        return gaps
    }

    /** Makes a hop fail during a stream and measures the time until tokens arrive again. */
    private fun recovery(name: String, kind: RunnerKind, replace: Boolean) {
        recovery(name, kind, replace, "die", EngineFaults(dieAfterSteps = 1))
        recovery(name, kind, replace, "freeze", EngineFaults(freeze = true))
    }

    private fun recovery(
        name: String,
        kind: RunnerKind,
        replace: Boolean,
        faultName: String,
        fault: EngineFaults
    ) = EngineChain(hops.size, LAYERS_PER_HOP) { it.copy(microsPerLayer = 250) }.use { chain ->
        Backends.http().use { backends ->
            val failing = chain.hops.size / 2
            val spare = chain.spare(failing)
            val failedAt = AtomicReference<TimeMark>()
            val recoveryTime = AtomicReference<Duration>()
            val replaceHop: suspend (StageHop) -> StageHop? = { spare }
            val runner = backends.runner(kind, replaceHop.takeIf { replace })
            runBlocking(Dispatchers.Default) {
                val emitted = mutableListOf<Int>()
                var work = chain.work(
                    prompt = chain.promptFor(RECOVERY_TOKENS),
                    maxTokens = RECOVERY_TOKENS
                )
                launch {
                    while (emitted.size < RECOVERY_TOKENS / 4) delay(1.milliseconds)
                    failedAt.set(clock.markNow())
                    chain.engines[failing].faults(fault)
                }
                var attempts = 0
                var done = false
                while (!done && attempts < 3) {
                    attempts++
                    runner.run(work).collect { event ->
                        if (event is StreamEvent.Token) {
                            emitted += event.event.id
                            val replaced = event.event.lineage[failing].instance == spare.instance
                            if (replaced) {
                                recoveryTime.compareAndSet(null, failedAt.get().elapsedNow())
                            }
                        }
                        done = done || event is StreamEvent.Done
                    }
                    val route = work.hops.toMutableList().also { it[failing] = spare }
                    work = work.copy(
                        attempt = work.attempt + 1,
                        hops = route,
                        emitted = emitted.toList()
                    )
                }
                print(
                    "measurement" to "recovery",
                    "runner" to name,
                    "fault" to faultName,
                    "millisUntilTokens" to
                        (recoveryTime.get()?.toDouble(DurationUnit.MILLISECONDS) ?: -1.0),
                    "attempts" to attempts,
                    "tokens" to emitted.size,
                    "answerCorrect" to (emitted == chain.expected(work).map { it.id })
                )
            }
        }
    }

    private fun work(prompt: String) = ChainWork(
        request = RequestId("bench-$seed-${System.nanoTime()}-${requests++}"),
        attempt = 1,
        model = ModelName("drafter"),
        version = "1",
        hops = hops,
        prompt = prompt,
        emitted = emptyList(),
        maxTokens = MAX_TOKENS,
        priority = 0
    )

    private fun cpuNanos(): Long =
        (ManagementFactory.getOperatingSystemMXBean() as com.sun.management.OperatingSystemMXBean)
            .processCpuTime

    private fun millis(gaps: List<Duration>, quantile: Double): Double =
        gaps.sorted()[(gaps.size * quantile).toInt().coerceAtMost(gaps.size - 1)]
            .toDouble(DurationUnit.MILLISECONDS)

    private fun print(vararg fields: Pair<String, Any>) {
        val all = fields.toList() + ("seed" to seed)
        println(
            all.joinToString(",", "{", "}") { (name, value) ->
                val text = when (value) {
                    is String -> "\"$value\""
                    is Double -> String.format(Locale.ROOT, "%.2f", value)
                    else -> "$value"
                }
                "\"$name\":$text"
            }
        )
    }

    companion object {
        private val STREAMS = listOf(1, 16, 64)

        /** Few at first: 64 concurrent streams on cold engines exceed the inactivity timeout. */
        private val WARM_UP_STREAMS = listOf(4, 32)

        /** Longer heartbeat, so that a busy machine does not abort the throughput measurement. */
        private val THROUGHPUT_OPTIONS = BackendOptions(heartbeat = 2.seconds)
        private const val ROUNDS = 4
        private const val MAX_TOKENS = 128
        private const val LAYERS_PER_HOP = 8
        private const val RECOVERY_TOKENS = 60
        private const val NANOS_PER_MILLI = 1e6
        private const val THOUSAND = 1000
    }
}

internal fun main(args: Array<String>) {
    val layers = 8
    val hops = args.drop(1).mapIndexed { index, address ->
        val range = LayerRange(index * layers, (index + 1) * layers)
        StageHop(InstanceId("e${index + 1}"), address, range)
    }
    RunnerBenchmark(args[0].toInt(), hops).run()
}
