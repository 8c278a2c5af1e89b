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

/** Serves the object API of section 5 of the design over HTTP, with fault switches. */
public class PlatformServer(private val store: InMemoryObjectStore = InMemoryObjectStore()) {
    private class Switches(val faults: PlatformFaults) {
        private val random = Random(faults.seed)

        @Synchronized
        fun losesAnswer() = random.nextDouble() < faults.loseWriteAnswers

        @Synchronized
        fun readAge(): Long =
            if (faults.staleReadMillis == 0L) 0 else random.nextLong(faults.staleReadMillis + 1)
    }

    private val switches = AtomicReference(Switches(PlatformFaults()))
    private val counter = CallCounter()
    private val app = Javalin.create { config ->
        config.startup.showJavalinBanner = false
        config.jetty.threadPool = QueuedThreadPool(MAX_THREADS)
        config.http.maxRequestSize = MAX_BODY_BYTES
        config.routes.get(KIND_PATH) {
            if (it.queryParam("watch") ==
                "true"
            ) {
                watch(it)
            } else {
                list(it)
            }
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
                .fold({ ctx.status(NO_CONTENT) }, { refuse(ctx, it) })
        }
        config.routes.get("/standin/faults") { answer(it, json(switches.get().faults)) }
        config.routes.put("/standin/faults") { ctx ->
            switches.set(Switches(format.decodeFromString(ctx.body())))
            answer(ctx, json(switches.get().faults))
        }
        config.routes.get("/standin/counts") { ctx ->
            ctx.contentType(JSON).result(format.encodeToString(counter.counts()))
        }
    }

    /** Starts to listen and returns the port, which is chosen by the system if [port] is 0. */
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
            putJsonArray("items") { page.forEach { add(wire(it)) } }
        }
        answer(ctx, body)
    }

    private fun get(ctx: Context) {
        val kind = admit(ctx, "get") ?: return
        val name = ctx.pathParam("name")
        val found = store.list(kind, readAge(kind)).second.find { it.name == name }
        if (found == null) refuse(ctx, StoreRefusal.NOT_FOUND) else answer(ctx, wire(found))
    }

    private fun create(ctx: Context) {
        val kind = admit(ctx, "create") ?: return
        val body = Json.parseToJsonElement(ctx.body()).jsonObject
        val name = metadata(body).getValue("name").jsonPrimitive.content
        val created = store.create(kind, name, body.getValue("spec"))
        written(ctx, created) { answer(ctx, wire(it), CREATED) }
    }

    private fun update(ctx: Context) {
        val kind = admit(ctx, "update") ?: return
        val body = Json.parseToJsonElement(ctx.body()).jsonObject
        val version = metadata(body).getValue("resourceVersion").jsonPrimitive.content.toLong()
        val updated = store.put(kind, ctx.pathParam("name"), body.getValue("spec"), version)
        written(ctx, updated) { answer(ctx, wire(it)) }
    }

    private fun delete(ctx: Context) {
        val kind = admit(ctx, "delete") ?: return
        val version = ctx.queryParam("resourceVersion")?.toLong()
        val deleted = store.delete(kind, ctx.pathParam("name"), version)
        written(ctx, deleted) { answer(ctx, buildJsonObject { put("status", "Success") }) }
    }

    private fun watch(ctx: Context) {
        val kind = admit(ctx, "watch") ?: return
        val seconds = ctx.queryParam("timeoutSeconds")?.toLong() ?: DEFAULT_WATCH_SECONDS
        val end = System.currentTimeMillis() + seconds * MILLIS_PER_SECOND
        var position = ctx.queryParam("resourceVersion")?.toLong() ?: 0
        counter.watchOpened()
        try {
            val output = ctx.contentType(JSON).res().outputStream
            var left = end - System.currentTimeMillis()
            while (left > 0 && !switches.get().faults.down) {
                val step = minOf(left, WATCH_STEP_MILLIS)
                val events = store.watch(kind, position, step, lag(kind)).getOrElse {
                    refuse(ctx, it)
                    return
                }
                for (event in events) output.write("${wire(event)}\n".toByteArray())
                position = events.lastOrNull()?.version ?: position
                ctx.res().flushBuffer()
                left = end - System.currentTimeMillis()
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
            .fold({ answer(ctx, wire(it)) }, { refuse(ctx, it) })
    }

    /** Counts the call and applies the delay; null if the platform is down. */
    private fun admit(ctx: Context, operation: String): String? {
        val kind = ctx.pathParam("kind")
        counter.count(operation, kind)
        val faults = switches.get().faults
        if (faults.slowMillis > 0) Thread.sleep(faults.slowMillis)
        if (!faults.down) return kind
        refuse(ctx, StoreRefusal.UNAVAILABLE)
        return null
    }

    private fun lag(kind: String) =
        if (kind == INSTANCES) switches.get().faults.listLagMillis else 0

    private fun readAge(kind: String) = maxOf(lag(kind), switches.get().readAge())

    private fun <V> written(ctx: Context, result: Result<V, StoreRefusal>, reply: (V) -> Unit) {
        if (switches.get().losesAnswer()) {
            ServletContextRequest.getServletContextRequest(ctx.req())
                .connectionMetaData.connection.endPoint.close()
        } else {
            result.fold(reply) { refuse(ctx, it) }
        }
    }

    private fun refuse(ctx: Context, refusal: StoreRefusal) {
        val body = buildJsonObject {
            put("kind", "Status")
            put("code", refusal.status)
            put("reason", refusal.reason)
        }
        answer(ctx, body, refusal.status)
    }

    private fun answer(ctx: Context, body: JsonElement, status: Int = OK) {
        ctx.status(status).contentType(JSON).result(body.toString())
    }

    private fun metadata(body: JsonObject) = body.getValue("metadata").jsonObject

    private fun wire(item: StandInObject) = buildJsonObject {
        putJsonObject("metadata") {
            put("name", item.name)
            put("resourceVersion", item.version.toString())
        }
        put("spec", item.value)
    }

    private fun wire(event: StoreEvent) = buildJsonObject {
        val type = when {
            event.after == null -> "DELETED"
            event.before == null -> "ADDED"
            else -> "MODIFIED"
        }
        put("type", JsonPrimitive(type))
        val item = event.after ?: checkNotNull(event.before)
        put("object", wire(item.copy(version = event.version)))
    }

    private fun json(faults: PlatformFaults) =
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

        /** Bounds how long an open watch outlives a switch to `down`. */
        const val WATCH_STEP_MILLIS = 100L

        /** Each open watch holds a thread. */
        const val MAX_THREADS = 400
        const val MAX_BODY_BYTES = 2_000_000L
    }
}
