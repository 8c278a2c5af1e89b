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

/** Sends streamed completions, records the arrival time of each token and checks the answer. */
internal class StreamCaller(private val model: String, private val layers: Int) {
    private val client = OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .connectionPool(ConnectionPool(MAX_IDLE_CONNECTIONS, 1, TimeUnit.MINUTES))
        .readTimeout(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS)
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
        val reader = StreamReader(System.nanoTime())
        try {
            client.newCall(request).execute().use { reader.read(it) }
        } catch (e: IOException) {
            reader.failure = "connection: ${e.message}"
        }
        val expected = ReferenceModel.answer("user: $text", model, VERSION, layers, tokens)
            .joinToString("") { it.text }
        val correct = expected == reader.text.toString()
        if (reader.failure == null && !correct) {
            println("wrong answer: got '${reader.text}', expected '$expected'")
        }
        return reader.result(correct)
    }

    private class StreamReader(private val sentNanos: Long) {
        val text = StringBuilder()
        var failure: String? = "truncated"
        private var notRun = false
        private val tokenNanos = ArrayList<Long>()

        fun read(response: Response) {
            if (!response.isSuccessful) return recordProblem(response.body.string())
            val source = response.body.source()
            while (true) {
                val line = source.readUtf8Line() ?: return
                when {
                    line == "data: [DONE]" -> failure = null
                    line.startsWith("event: error") ->
                        return recordProblem(source.readUtf8Line().orEmpty().removePrefix("data: "))
                    else -> CONTENT.find(line)?.let {
                        text.append(it.groupValues[1])
                        tokenNanos += System.nanoTime()
                    }
                }
            }
        }

        fun result(correct: Boolean) = MeasuredStream(
            sentNanos = sentNanos,
            tokenNanos = tokenNanos.toLongArray(),
            endNanos = System.nanoTime(),
            failure = failure,
            notRun = notRun,
            correct = correct
        )

        private fun recordProblem(json: String) {
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
        const val READ_TIMEOUT_SECONDS = 60L
        const val MAX_IDLE_CONNECTIONS = 256
        val CONTENT = Regex("\"content\":\"([^\"]*)\"")
    }
}
