package org.bramleytrestle.store

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.Request
import org.bramleytrestle.http.boundedLine

/** Client of the platform's object API over HTTP, as described in section 5 of the design. */
public class HttpObjectStore(
    baseUrl: String,
    callTimeout: Duration = 2.seconds,
    connectTimeout: Duration = 1.seconds
) : ObjectStore,
    AutoCloseable {
    private val root = baseUrl.toHttpUrl()
    private val http = StoreHttpClient(callTimeout, connectTimeout)

    override suspend fun get(kind: String, name: String): Result<StoredObject, StoreError> =
        call(url(kind, name)) { stored(kind, it.text()) }

    override suspend fun list(
        kind: String,
        fromName: String?,
        limit: Int?
    ): Result<StoredObjectList, StoreError> {
        val url = url(kind).newBuilder().apply {
            if (fromName != null) addQueryParameter("fromName", fromName)
            if (limit != null) addQueryParameter("limit", limit.toString())
        }.build()
        return call(url) { response ->
            val list = wireFormat.decodeFromString<WireList>(response.text())
            val items = list.items.map { it.toStored(kind) }
            StoredObjectList(list.metadata.resourceVersion.toLong(), items)
        }
    }

    override suspend fun create(
        kind: String,
        name: String,
        value: JsonElement
    ): Result<StoredObject, StoreError> {
        val body = body(WireObject(WireMetadata(name), value))
        return call(url(kind), method = { post(body) }) { stored(kind, it.text()) }
    }

    override suspend fun update(
        kind: String,
        name: String,
        value: JsonElement,
        ifVersion: Long
    ): Result<StoredObject, StoreError> {
        val body = body(WireObject(WireMetadata(name, ifVersion.toString()), value))
        return call(url(kind, name), method = { put(body) }) { stored(kind, it.text()) }
    }

    override suspend fun delete(
        kind: String,
        name: String,
        ifVersion: Long
    ): Result<Unit, StoreError> {
        val url = url(kind, name).newBuilder()
            .addQueryParameter("resourceVersion", ifVersion.toString()).build()
        return call(url, method = { delete(StoreHttpClient.body("")) }) { it.text() }.map { }
    }

    override suspend fun watch(
        kind: String,
        afterVersion: Long,
        timeout: Duration
    ): Result<List<WatchEvent>, StoreError> {
        val seconds = timeout.inWholeSeconds.coerceAtLeast(1)
        val url = url(kind).newBuilder()
            .addQueryParameter("watch", "true")
            .addQueryParameter("resourceVersion", afterVersion.toString())
            .addQueryParameter("timeoutSeconds", seconds.toString())
            .build()
        return call(url, seconds.seconds) { events(kind, it) }
    }

    /** Cancels open calls and closes all connections. */
    override fun close(): Unit = http.close()

    /** Waits for the first event and returns it with those already buffered behind it. */
    private fun events(kind: String, response: StoreResponse): List<WatchEvent> {
        val source = response.source
        val events = mutableListOf<WatchEvent>()
        while (events.isEmpty() || source.buffer.indexOf('\n'.code.toByte()) >= 0) {
            val line = source.boundedLine(MAX_EVENT_BYTES) ?: break
            if (line.isBlank()) continue
            val event = wireFormat.decodeFromString<WireEvent>(line)
            events += WatchEvent(event.item.toStored(kind), event.type == "DELETED")
        }
        return events
    }

    private fun stored(kind: String, text: String) =
        wireFormat.decodeFromString<WireObject>(text).toStored(kind)

    private fun url(kind: String, name: String? = null): HttpUrl =
        root.newBuilder().addPathSegments("apis/bramleytrestle.org/v1").addPathSegment(kind)
            .apply { if (name != null) addPathSegment(name) }.build()

    private fun body(item: WireObject) = StoreHttpClient.body(wireFormat.encodeToString(item))

    private suspend fun <T> call(
        url: HttpUrl,
        watchTime: Duration? = null,
        method: Request.Builder.() -> Unit = {},
        read: (StoreResponse) -> T
    ): Result<T, StoreError> = http.call(url, watchTime, method) { response ->
        when {
            response.successful -> Ok(read(response))
            response.status == CONFLICT -> response.error(conflictError(response.text()))
            else -> response.error(StoreError.VERSION_CONFLICT)
        }
    }

    private fun conflictError(text: String): StoreError {
        val reason = wireFormat.decodeFromString<WireStatus>(text).reason
        val exists = reason == "AlreadyExists"
        return if (exists) StoreError.ALREADY_EXISTS else StoreError.VERSION_CONFLICT
    }

    private companion object {
        val wireFormat = Json {
            ignoreUnknownKeys = true
            explicitNulls = false
        }
        const val CONFLICT = 409

        /** An object of the largest size, and its metadata. */
        const val MAX_EVENT_BYTES = 2L * 1024 * 1024
    }
}
