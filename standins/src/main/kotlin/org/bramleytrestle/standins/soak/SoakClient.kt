package org.bramleytrestle.standins.soak

import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response

/** HTTP client of the soak program. */
internal class SoakClient {
    /** A response, or a broken connection with the error message as [body]. */
    class Reply(val status: Int, val body: String, val broken: Boolean = false) {
        private val problem: JsonObject? by lazy {
            try {
                Json.parseToJsonElement(body).jsonObject
            } catch (e: IllegalArgumentException) {
                null
            }
        }
        val kind: String? get() = problem?.get("kind")?.jsonPrimitive?.content
        val executed: String? get() = problem?.get("executed")?.jsonPrimitive?.content
        val ok: Boolean get() = !broken && status in SUCCESS_STATUS
    }

    // No automatic retries, because every response must be accounted for.
    private val client = OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .readTimeout(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .connectTimeout(2, TimeUnit.SECONDS)
        .build()

    fun entries(node: String, organisation: String): List<Pair<String, String>> {
        val request = Request.Builder().url("$node/v1/entries?organisation=$organisation")
        val reply = send(request)
        if (!reply.ok) return emptyList()
        return Json.parseToJsonElement(reply.body).jsonObject.getValue("entries").jsonArray.map {
            val entry = it.jsonObject
            val id = entry.getValue("instance").jsonPrimitive.content
            id to entry.getValue("address").jsonPrimitive.content
        }
    }

    fun post(url: String, body: String, headers: Map<String, String>): Reply {
        val request = Request.Builder().url(url).post(body.toRequestBody(json))
        headers.forEach { (name, value) -> request.header(name, value) }
        return send(request)
    }

    fun get(url: String, headers: Map<String, String>): Reply {
        val request = Request.Builder().url(url)
        headers.forEach { (name, value) -> request.header(name, value) }
        return send(request)
    }

    private fun send(request: Request.Builder): Reply = try {
        client.newCall(request.header("Connection", "close").build()).execute().use(::reply)
    } catch (e: IOException) {
        Reply(0, e.message.orEmpty(), broken = true)
    }

    private fun reply(response: Response) = Reply(response.code, response.body.string())

    private companion object {
        const val READ_TIMEOUT_SECONDS = 40L
        val SUCCESS_STATUS = 200..299
        val json = "application/json".toMediaType()
    }
}
