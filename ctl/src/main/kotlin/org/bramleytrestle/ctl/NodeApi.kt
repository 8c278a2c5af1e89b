package org.bramleytrestle.ctl

import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.bramleytrestle.http.SoundAnswerInterceptor
import org.bramleytrestle.http.SoundSocketFactory
import org.bramleytrestle.http.boundedText
import org.bramleytrestle.settings.Change
import org.bramleytrestle.settings.EffectiveValue
import org.bramleytrestle.settings.SettingsDifference

/** Client of a node's operator API. */
internal class NodeApi(node: String, private val token: String) {
    private val base: HttpUrl = node.toHttpUrlOrNull()
        ?: throw CommandFailure(ExitCode.INVALID, "--node: got '$node', expected a URL")
    private val json = Json { ignoreUnknownKeys = true }
    private val client = OkHttpClient.Builder()
        .callTimeout(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .retryOnConnectionFailure(false)
        .addNetworkInterceptor(SoundAnswerInterceptor)
        .socketFactory(SoundSocketFactory)
        .build()

    fun settings(): SettingsView = get(SettingsView.serializer(), url("settings"))

    fun effective(path: String): List<EffectiveValue> =
        get(ListSerializer(EffectiveValue.serializer()), url("effective", "path" to path))

    fun plan(patch: JsonObject): List<SettingsDifference> {
        val body = buildJsonObject { put("patch", patch) }
        return post(ListSerializer(SettingsDifference.serializer()), url("plan"), body)
    }

    /** Sends a change. It may be retried with the same [changeId] if the response was lost. */
    fun change(baseRevision: Long, changeId: String, reason: String, patch: JsonObject): Change =
        post(
            Change.serializer(),
            url("changes"),
            buildJsonObject {
                put("baseRevision", baseRevision)
                put("changeId", changeId)
                put("reason", reason)
                put("patch", patch)
            }
        )

    fun changes(after: Long, limit: Int): List<Change> = get(
        ListSerializer(Change.serializer()),
        url("changes", "after" to "$after", "limit" to "$limit")
    )

    fun changeAt(revision: Long): Change = get(Change.serializer(), url("changes/$revision"))

    fun status(): JsonObject = get(JsonObject.serializer(), url("status"))

    fun drain(instance: String) {
        send(url("drain", "instance" to instance), buildJsonObject { })
    }

    private fun url(path: String, vararg query: Pair<String, String>): HttpUrl =
        base.newBuilder().addPathSegments("admin/$path").apply {
            query.forEach { (name, value) -> addQueryParameter(name, value) }
        }.build()

    private fun <T> get(serializer: KSerializer<T>, url: HttpUrl): T =
        json.decodeFromString(serializer, send(url, body = null))

    private fun <T> post(serializer: KSerializer<T>, url: HttpUrl, body: JsonObject): T =
        json.decodeFromString(serializer, send(url, body))

    private fun send(url: HttpUrl, body: JsonObject?): String {
        val request = Request.Builder().url(url).header("Authorization", "Bearer $token")
        if (body != null) request.post(body.toString().toRequestBody(jsonType))
        return try {
            client.newCall(request.build()).execute().use { response ->
                val text = response.boundedText(MAX_BODY_BYTES)
                if (response.isSuccessful) text else throw commandFailure(response.code, text)
            }
        } catch (e: IOException) {
            throw CommandFailure(ExitCode.UNREACHABLE, "$url: ${e.message}")
        }
    }

    private fun commandFailure(status: Int, text: String): CommandFailure {
        val exit = when (status) {
            STATUS_CONFLICT -> ExitCode.CONFLICT
            STATUS_UNPROCESSABLE_CONTENT -> ExitCode.INVALID
            else -> ExitCode.REFUSED
        }
        val detail = try {
            val problem = json.parseToJsonElement(text).jsonObject
            "${problem["kind"]?.jsonPrimitive?.content}: ${problem["detail"]?.jsonPrimitive?.content}"
        } catch (e: IllegalArgumentException) {
            "status $status"
        }
        return CommandFailure(exit, detail)
    }

    private companion object {
        const val CALL_TIMEOUT_SECONDS = 15L
        const val STATUS_CONFLICT = 409

        /** Several times the settings of the largest deployment. */
        const val MAX_BODY_BYTES = 32L * 1024 * 1024
        const val STATUS_UNPROCESSABLE_CONTENT = 422
        val jsonType = "application/json".toMediaType()
    }
}
