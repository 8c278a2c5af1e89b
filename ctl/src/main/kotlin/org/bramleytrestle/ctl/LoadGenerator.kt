package org.bramleytrestle.ctl

import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.HdrHistogram.ConcurrentHistogram

/**
 * Sends streamed completions on a fixed schedule, without waiting for earlier responses (open-loop
 * load), so that a slow system does not reduce the load under which it is measured.
 */
internal class LoadGenerator(
    private val entry: String,
    private val organisation: String,
    private val model: String,
    private val maxTokens: Int
) {
    private val client = OkHttpClient.Builder().readTimeout(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .build()
    private val firstToken = ConcurrentHistogram(MAX_TRACKABLE_MICROS, SIGNIFICANT_DIGITS)
    private val betweenTokens = ConcurrentHistogram(MAX_TRACKABLE_MICROS, SIGNIFICANT_DIGITS)
    private val completed = AtomicInteger()
    private val tokens = AtomicLong()
    private val failed = ConcurrentHashMap<String, Int>()

    fun run(requests: Int, intervalNanos: Long): LoadReport {
        val entries = entries()
        val threads = Executors.newCachedThreadPool()
        val done = CountDownLatch(requests)
        val start = System.nanoTime()
        for (i in 0..<requests) {
            val wait = start + i * intervalNanos - System.nanoTime()
            if (wait > 0) TimeUnit.NANOSECONDS.sleep(wait)
            threads.execute {
                sendRequest(entries[i % entries.size], i)
                done.countDown()
            }
        }
        done.await()
        threads.shutdown()
        return report(requests)
    }

    private fun entries(): List<String> {
        val url = "$entry/v1/entries?organisation=$organisation"
        val text = try {
            client.newCall(Request.Builder().url(url).build()).execute().use { it.body.string() }
        } catch (e: IOException) {
            throw CommandFailure(ExitCode.UNREACHABLE, "$url: ${e.message}")
        }
        val list = Json.parseToJsonElement(text).jsonObject["entries"]?.jsonArray.orEmpty()
        if (list.isEmpty()) {
            throw CommandFailure(ExitCode.REFUSED, "$url: the list of entries is empty")
        }
        return list.map { it.jsonObject.getValue("address").jsonPrimitive.content }
    }

    private fun sendRequest(address: String, number: Int) {
        val body = buildJsonObject {
            put("model", model)
            put("stream", true)
            put("max_tokens", maxTokens)
            putJsonArray("messages") {
                addJsonObject {
                    put("role", "user")
                    put("content", "load request $number")
                }
            }
        }
        val request = Request.Builder().url("$address/v1/chat/completions")
            .header("X-Organisation", organisation)
            .post(body.toString().toRequestBody("application/json".toMediaType()))
            .build()
        val sent = System.nanoTime()
        val outcome = try {
            client.newCall(request).execute().use { readStream(it, sent) }
        } catch (e: IOException) {
            "connection"
        }
        if (outcome == null) completed.incrementAndGet() else failed.merge(outcome, 1, Int::plus)
    }

    /** Returns null if the stream ended with its terminal event, otherwise the cause of failure. */
    private fun readStream(response: Response, sent: Long): String? {
        if (!response.isSuccessful) return errorKind(response.body.string())
        var last = 0L
        val source = response.body.source()
        while (true) {
            val line = source.readUtf8Line() ?: return "truncated"
            when {
                line == "data: [DONE]" -> return null
                line.startsWith("event: error") -> {
                    return errorKind(source.readUtf8Line().orEmpty().removePrefix("data: "))
                }
                line.startsWith("data: ") && "\"content\"" in line -> {
                    val now = System.nanoTime()
                    if (last == 0L) {
                        record(firstToken, now - sent)
                    } else {
                        record(betweenTokens, now - last)
                    }
                    last = now
                    tokens.incrementAndGet()
                }
            }
        }
    }

    private fun errorKind(problem: String): String = try {
        Json.parseToJsonElement(problem).jsonObject["kind"]?.jsonPrimitive?.content ?: "unknown"
    } catch (e: IllegalArgumentException) {
        "unknown"
    }

    private fun record(histogram: ConcurrentHistogram, nanos: Long) {
        histogram.recordValue(
            TimeUnit.NANOSECONDS.toMicros(nanos).coerceIn(1, MAX_TRACKABLE_MICROS)
        )
    }

    private fun report(requests: Int) = LoadReport(
        requests = requests,
        completed = completed.get(),
        tokens = tokens.get(),
        failed = failed.toSortedMap(),
        firstTokenP50 = firstToken.millisAt(MEDIAN),
        firstTokenP95 = firstToken.millisAt(P95),
        betweenTokensP50 = betweenTokens.millisAt(MEDIAN),
        betweenTokensP95 = betweenTokens.millisAt(P95)
    )

    private fun ConcurrentHistogram.millisAt(percentile: Double): Double =
        getValueAtPercentile(percentile) / MICROS_PER_MILLI

    private companion object {
        const val READ_TIMEOUT_SECONDS = 60L
        const val MAX_TRACKABLE_MICROS = 600_000_000L
        const val SIGNIFICANT_DIGITS = 3
        const val MEDIAN = 50.0
        const val P95 = 95.0
        const val MICROS_PER_MILLI = 1_000.0
    }
}
