package org.bramleytrestle.standins.fleet

import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody

/** Calls of the stand-ins' own control endpoints. */
internal class HttpJson {
    private val client = OkHttpClient.Builder().callTimeout(CALL_SECONDS, TimeUnit.SECONDS).build()
    private val type = "application/json".toMediaType()

    fun put(url: String, body: String) {
        send(Request.Builder().url(url).put(body.toRequestBody(type)).build())
    }

    fun delete(url: String) {
        send(Request.Builder().url(url).delete().build())
    }

    fun get(url: String, headers: Map<String, String> = emptyMap()): JsonElement {
        val request = Request.Builder().url(url)
        headers.forEach { (name, value) -> request.header(name, value) }
        return Json.parseToJsonElement(send(request.build()))
    }

    /** Whether [url] answers with a success status now. */
    fun answers(url: String): Boolean = try {
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
        const val CALL_SECONDS = 5L
    }
}
