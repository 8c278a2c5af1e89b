package org.bramleytrestle.standins.platform

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.javalin.Javalin
import io.javalin.http.Context
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.bramleytrestle.model.Instance
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.util.thread.QueuedThreadPool

/** HTTP server of the object API (section 5 of the design), with fault injection. */
public class PlatformServer(private val store: InMemoryObjectStore = InMemoryObjectStore()) {
    private class FaultInjector(val faults: PlatformFaults) {
        private val random = Random(faults.seed)

        @Synchronized
        fun losesResponse() = random.nextDouble() < faults.loseWriteAnswers

        @Synchronized
        fun randomReadAge(): Long =
            if (faults.staleReadMillis == 0L) 0 else random.nextLong(faults.staleReadMillis + 1)
    }

    private val faultInjector = AtomicReference(FaultInjector(PlatformFaults()))
    private val counter = CallCounter()
    private val app = Javalin.create { config ->
        config.startup.showJavalinBanner = false
        config.jetty.threadPool = QueuedThreadPool(MAX_THREADS)
        config.http.maxRequestSize = MAX_BODY_BYTES
        config.routes.get(KIND_PATH) {
            if (it.queryParam("watch") == "true") watch(it) else list(it)
        }
        config.routes.exception(IllegalArgumentException::class.java) { cause, ctx ->
            ctx.status(BAD_REQUEST).result(cause.message.orEmpty())
        }
        config.routes.post(KIND_PATH, ::create)
        config.routes.get(OBJECT_PATH, ::get)
        config.routes.put(OBJECT_PATH, ::update)
        config.routes.delete(OBJECT_PATH, ::delete)
        config.routes.put("/standin/instances/{name}", ::putInstance)
        config.routes.delete("/standin/instances/{name}") { ctx ->
            store.delete(INSTANCES, ctx.pathParam("name"), null)
                .fold({ ctx.status(NO_CONTENT) }, { sendError(ctx, it) })
        }
        config.routes.get("/standin/faults") {
            sendJson(it, faultsJson(faultInjector.get().faults))
        }
        config.routes.put("/standin/faults") { ctx ->
            faultInjector.set(FaultInjector(format.decodeFromString(ctx.body())))
            sendJson(ctx, faultsJson(faultInjector.get().faults))
        }
        config.routes.get("/standin/counts") { ctx ->
            ctx.contentType(JSON).result(format.encodeToString(counter.counts()))
        }
    }

    /** Starts the server and returns its port; if [port] is 0, the system selects a free port. */
    public fun start(host: String, port: Int): Int = app.start(host, port).port()

    public fun stop() {
        app.stop()
    }

    private fun list(ctx: Context) {
        val kind = admit(ctx, "list") ?: return
        val (version, items) = store.list(kind, readAge(kind))
        val from = ctx.queryParam("fromName").orEmpty()
        val limit = ctx.queryParam("limit")?.toInt() ?: Int.MAX_VALUE
        val page = items.asSequence().filter { it.name >= from }.take(limit)
        val body = buildJsonObject {
            putJsonObject("metadata") { put("resourceVersion", version.toString()) }
            putJsonArray("items") { page.forEach { add(toJson(it)) } }
        }
        sendJson(ctx, body)
    }

    private fun get(ctx: Context) {
        val kind = admit(ctx, "get") ?: return
        val name = ctx.pathParam("name")
        val found = store.list(kind, readAge(kind)).second.find { it.name == name }
        if (found == null) sendError(ctx, StoreError.NOT_FOUND) else sendJson(ctx, toJson(found))
    }

    private fun create(ctx: Context) {
        val kind = admit(ctx, "create") ?: return
        val body = Json.parseToJsonElement(ctx.body()).jsonObject
        val name = metadata(body).getValue("name").jsonPrimitive.content
        val created = store.create(kind, name, body.getValue("spec"))
        respondToWrite(ctx, created) { sendJson(ctx, toJson(it), CREATED) }
    }

    private fun update(ctx: Context) {
        val kind = admit(ctx, "update") ?: return
        val body = Json.parseToJsonElement(ctx.body()).jsonObject
        val version = metadata(body).getValue("resourceVersion").jsonPrimitive.content.toLong()
        val updated = store.put(kind, ctx.pathParam("name"), body.getValue("spec"), version)
        respondToWrite(ctx, updated) { sendJson(ctx, toJson(it)) }
    }

    private fun delete(ctx: Context) {
        val kind = admit(ctx, "delete") ?: return
        val version = ctx.queryParam("resourceVersion")?.toLong()
        val deleted = store.delete(kind, ctx.pathParam("name"), version)
        respondToWrite(ctx, deleted) { sendJson(ctx, buildJsonObject { put("status", "Success") }) }
    }

    private fun watch(ctx: Context) {
        val kind = admit(ctx, "watch") ?: return
        val seconds = ctx.queryParam("timeoutSeconds")?.toLong() ?: DEFAULT_WATCH_SECONDS
        val end = System.currentTimeMillis() + seconds * MILLIS_PER_SECOND
        var position = ctx.queryParam("resourceVersion")?.toLong() ?: 0
        counter.watchOpened()
        try {
            val output = ctx.contentType(JSON).res().outputStream
            var remaining = end - System.currentTimeMillis()
            while (remaining > 0 && !faultInjector.get().faults.down) {
                val step = minOf(remaining, WATCH_POLL_MILLIS)
                val events = store.watch(kind, position, step, listLag(kind)).getOrElse {
                    sendError(ctx, it)
                    return
                }
                for (event in events) output.write("${toJson(event)}\n".toByteArray())
                position = events.lastOrNull()?.version ?: position
                ctx.res().flushBuffer()
                remaining = end - System.currentTimeMillis()
            }
        } finally {
            counter.watchClosed()
        }
    }

    private fun putInstance(ctx: Context) {
        val value = Json.parseToJsonElement(ctx.body())
        val name = ctx.pathParam("name")
        val id = format.decodeFromJsonElement(Instance.serializer(), value).id.value
        require(id == name) { "id: got $id, expected $name" }
        store.put(INSTANCES, name, value, null)
            .fold({ sendJson(ctx, toJson(it)) }, { sendError(ctx, it) })
    }

    /** Counts the call and applies the delay. Returns the kind, or null if the call was refused. */
    private fun admit(ctx: Context, operation: String): String? {
        val kind = ctx.pathParam("kind")
        counter.count(operation, kind)
        val faults = faultInjector.get().faults
        if (faults.slowMillis > 0) Thread.sleep(faults.slowMillis)
        if (!faults.down) return kind
        sendError(ctx, StoreError.UNAVAILABLE)
        return null
    }

    private fun listLag(kind: String) =
        if (kind == INSTANCES) faultInjector.get().faults.listLagMillis else 0

    private fun readAge(kind: String) = maxOf(listLag(kind), faultInjector.get().randomReadAge())

    private fun <V> respondToWrite(
        ctx: Context,
        result: Result<V, StoreError>,
        onSuccess: (V) -> Unit
    ) {
        if (faultInjector.get().losesResponse()) {
            ServletContextRequest.getServletContextRequest(ctx.req())
                .connectionMetaData.connection.endPoint.close()
        } else {
            result.fold(onSuccess) { sendError(ctx, it) }
        }
    }

    private fun sendError(ctx: Context, error: StoreError) {
        val body = buildJsonObject {
            put("kind", "Status")
            put("code", error.status)
            put("reason", error.reason)
        }
        sendJson(ctx, body, error.status)
    }

    private fun sendJson(ctx: Context, body: JsonElement, status: Int = OK) {
        ctx.status(status).contentType(JSON).result(body.toString())
    }

    private fun metadata(body: JsonObject) = body.getValue("metadata").jsonObject

    private fun toJson(item: StoredObject) = buildJsonObject {
        putJsonObject("metadata") {
            put("name", item.name)
            put("resourceVersion", item.version.toString())
        }
        put("spec", item.value)
    }

    private fun toJson(event: StoreEvent) = buildJsonObject {
        val type = when {
            event.after == null -> "DELETED"
            event.before == null -> "ADDED"
            else -> "MODIFIED"
        }
        put("type", JsonPrimitive(type))
        val item = event.after ?: checkNotNull(event.before)
        put("object", toJson(item.copy(version = event.version)))
    }

    private fun faultsJson(faults: PlatformFaults) =
        format.encodeToJsonElement(PlatformFaults.serializer(), faults)

    private companion object {
        val format = Json {
            encodeDefaults = true
            ignoreUnknownKeys = true
        }
        const val BAD_REQUEST = 400
        const val KIND_PATH = "/apis/bramleytrestle.org/v1/{kind}"
        const val OBJECT_PATH = "$KIND_PATH/{name}"
        const val INSTANCES = "instances"
        const val JSON = "application/json"
        const val OK = 200
        const val CREATED = 201
        const val NO_CONTENT = 204
        const val MILLIS_PER_SECOND = 1000
        const val DEFAULT_WATCH_SECONDS = 30L

        /** Maximum time for which an open watch continues after the `down` fault is set. */
        const val WATCH_POLL_MILLIS = 100L

        /** Each open watch occupies a thread. */
        const val MAX_THREADS = 400
        const val MAX_BODY_BYTES = 2_000_000L
    }
}
