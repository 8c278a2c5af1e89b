package org.bramleytrestle.standins.measure

import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import okhttp3.ConnectionPool
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.bramleytrestle.standins.engine.ReferenceModel

/** Sends streamed completions, records when each token arrives and checks the answer. */
internal class StreamCaller(private val model: String, private val layers: Int) {
    private val client = OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .connectionPool(ConnectionPool(IDLE_CONNECTIONS, 1, TimeUnit.MINUTES))
        .readTimeout(READ_SECONDS, TimeUnit.SECONDS)
        .build()

    fun call(
        entry: String,
        service: String,
        tokens: Int,
        deadlineMillis: Long,
        text: String
    ): MeasuredStream {
        val body = """{"model":"$model","stream":true,"max_tokens":$tokens,""" +
            """"messages":[{"role":"user","content":"$text"}]}"""
        val request = Request.Builder().url("$entry/v1/chat/completions")
            .header("X-Organisation", "lab")
            .header("X-Service", service)
            .header("X-Deadline-Ms", "$deadlineMillis")
            .post(body.toRequestBody("application/json".toMediaType()))
            .build()
        val reading = Reading(System.nanoTime())
        try {
            client.newCall(request).execute().use { reading.read(it) }
        } catch (e: IOException) {
            reading.failure = "connection: ${e.message}"
        }
        val expected = ReferenceModel.answer("user: $text", model, VERSION, layers, tokens)
        val correct = expected.joinToString("") { it.text } == reading.text.toString()
        if (reading.failure == null && !correct) {
            println("got '${reading.text}', expected '${expected.joinToString("") { it.text }}'")
        }
        return reading.result(correct)
    }

    private class Reading(private val sent: Long) {
        val text = StringBuilder()
        var failure: String? = "truncated"
        private var notRun = false
        private val times = ArrayList<Long>()

        fun read(response: Response) {
            if (!response.isSuccessful) return problem(response.body.string())
            val source = response.body.source()
            while (true) {
                val line = source.readUtf8Line() ?: return
                when {
                    line == "data: [DONE]" -> failure = null
                    line.startsWith("event: error") ->
                        return problem(source.readUtf8Line().orEmpty().removePrefix("data: "))
                    else -> CONTENT.find(line)?.let {
                        text.append(it.groupValues[1])
                        times += System.nanoTime()
                    }
                }
            }
        }

        fun result(correct: Boolean) = MeasuredStream(
            sentNanos = sent,
            tokenNanos = times.toLongArray(),
            endNanos = System.nanoTime(),
            failure = failure,
            notRun = notRun,
            correct = correct
        )

        private fun problem(json: String) {
            val problem: JsonObject? = try {
                Json.parseToJsonElement(json).jsonObject
            } catch (e: IllegalArgumentException) {
                null
            }
            failure = problem?.get("kind")?.jsonPrimitive?.content ?: "unknown"
            notRun = problem?.get("executed")?.jsonPrimitive?.content == "no"
        }
    }

    private companion object {
        const val VERSION = "1"
        const val READ_SECONDS = 60L
        const val IDLE_CONNECTIONS = 256
        val CONTENT = Regex("\"content\":\"([^\"]*)\"")
    }
}
