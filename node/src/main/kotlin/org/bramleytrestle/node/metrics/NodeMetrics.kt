package org.bramleytrestle.node.metrics

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.Side

/** Metrics of one node, exposed in the Prometheus text format. */
internal class NodeMetrics {
    private val registry = PrometheusRegistry()

    private val requests = Counter.builder()
        .name("bramleytrestle_requests_total")
        .help("Requests by outcome: completed, cancelled or an error kind.")
        .labelNames("outcome").register(registry)

    private val answers = Counter.builder()
        .name("bramleytrestle_answers_total")
        .help("Completed requests by the side that answered.")
        .labelNames("side").register(registry)

    private val tokens = Counter.builder()
        .name("bramleytrestle_tokens_total")
        .help("Generated tokens passed to callers.").register(registry)

    private val retries = Counter.builder()
        .name("bramleytrestle_retries_total")
        .help("Attempts after the first.").register(registry)

    private val firstToken = Histogram.builder()
        .name("bramleytrestle_first_token_seconds")
        .help("Time from the request until its first token, in seconds.").register(registry)

    private val violations = Counter.builder()
        .name("bramleytrestle_invariant_violations_total")
        .help("Violations of what must always hold; expected 0.")
        .labelNames("invariant").register(registry)

    fun recordOutcome(outcome: String) = requests.labelValues(outcome).inc()

    fun recordOutcome(kind: ErrorKind) = recordOutcome(kind.wireName)

    fun recordSide(side: Side) = answers.labelValues(side.name.lowercase()).inc()

    fun recordTokens(count: Int) = tokens.inc(count.toLong())

    fun recordRetry() = retries.inc()

    fun recordTimeToFirstToken(time: Duration) =
        firstToken.observe(time.toDouble(DurationUnit.SECONDS))

    fun recordViolation(name: String) = violations.labelValues(name).inc()

    /** Total number of violations over all invariants. */
    fun totalViolations(): Double = violations.collect().dataPoints.sumOf { it.value }

    /** Registers a gauge whose value is read from [value] at each scrape. */
    fun registerGauge(name: String, help: String, value: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help)
            .callback { it.call(value()) }.register(registry)
    }

    fun toPrometheusText(): ByteArray {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.builder().build().write(out, registry.scrape())
        return out.toByteArray()
    }
}
