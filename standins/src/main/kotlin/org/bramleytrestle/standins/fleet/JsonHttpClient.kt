package org.bramleytrestle.standins.fleet

import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody

/** HTTP client for JSON endpoints of stand-ins and nodes, such as fault injection and counts. */
internal class JsonHttpClient {
    private val client = OkHttpClient.Builder()
        .callTimeout(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .build()
    private val mediaType = "application/json".toMediaType()

    fun put(url: String, body: String) {
        send(Request.Builder().url(url).put(body.toRequestBody(mediaType)).build())
    }

    fun delete(url: String) {
        send(Request.Builder().url(url).delete().build())
    }

    fun get(url: String, headers: Map<String, String> = emptyMap()): JsonElement {
        val request = Request.Builder().url(url)
        headers.forEach { (name, value) -> request.header(name, value) }
        return Json.parseToJsonElement(send(request.build()))
    }

    /** Returns whether a GET of [url] succeeds. */
    fun isSuccessful(url: String): Boolean = try {
        client.newCall(Request.Builder().url(url).build()).execute().use { it.isSuccessful }
    } catch (e: IOException) {
        false
    }

    private fun send(request: Request): String = client.newCall(request).execute().use { response ->
        val text = response.body.string()
        check(response.isSuccessful) { "${request.url}: status ${response.code}: $text" }
        text
    }

    private companion object {
        const val CALL_TIMEOUT_SECONDS = 5L
    }
}
