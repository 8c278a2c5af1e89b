package org.bramleytrestle.standins.service

import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.standins.StandInHttpServer
import org.bramleytrestle.standins.WireJson
import org.bramleytrestle.standins.sendJson

/** A stand-in service that listens on loopback and counts the executions of each booking. */
public class ServiceServer(private val config: ServiceConfig) {
    private class Booking(val number: Long, val body: JsonObject)

    private val faultState = AtomicReference(ServiceFaults())
    private val random = AtomicReference(Random(1))
    private val bookings = ConcurrentHashMap<String, Booking>()
    private val runCounts = ConcurrentHashMap<String, AtomicInteger>()
    private val lastNumber = AtomicLong()
    private val running = AtomicInteger()
    private val reports = AtomicLong()
    private val visibleReport = AtomicReference<LoadReport>()
    private val pendingReport = AtomicReference<LoadReport>()

    @Volatile
    private var leaving = false

    private val http: StandInHttpServer

    init {
        visibleReport.set(takeReport())
        pendingReport.set(visibleReport.get())
        http = StandInHttpServer("service-${config.id}", config.port, ::routes)
        if (config.reportLagMillis > 0) {
            http.scope.launch {
                while (isActive) {
                    delay(config.reportLagMillis)
                    visibleReport.set(pendingReport.getAndSet(takeReport()))
                }
            }
        }
    }

    public val id: InstanceId get() = InstanceId(config.id)
    public val port: Int get() = http.port
    public val address: String get() = "http://127.0.0.1:$port"

    /** Number of executions by booking id. */
    public val runs: Map<String, Int> get() = runCounts.mapValues { it.value.get() }

    /** Replaces all faults. */
    public fun faults(faults: ServiceFaults) {
        faultState.set(faults)
        random.set(Random(faults.seed))
        http.setFrozen(faults.freeze)
    }

    public fun leaving(value: Boolean) {
        leaving = value
    }

    /** Stops the service abruptly and closes its connections. */
    public fun kill() {
        http.kill()
    }

    private fun routes(server: StandInHttpServer, routes: RoutesConfig) {
        routes.post("/bookings") { ctx ->
            server.handle(ctx) { serve(server, ctx) { book(ctx) } }
        }
        routes.get("/bookings/{id}") { ctx ->
            server.handle(ctx) { serve(server, ctx) { find(ctx) } }
        }
        routes.get("/status") { ctx ->
            server.handle(ctx) { serve(server, ctx) { status(ctx) } }
        }
        routes.get("/v1/report") { ctx ->
            server.handle(ctx) {
                ctx.sendJson(if (config.reportLagMillis > 0) visibleReport.get() else takeReport())
            }
        }
        routes.get("/standin/runs") { ctx -> ctx.sendJson(runs) }
        routes.put("/standin/faults") { ctx ->
            faults(WireJson.decodeFromString<ServiceFaults>(ctx.body()))
        }
        routes.put("/standin/leaving") { ctx ->
            val body = ctx.body().takeIf { it.isNotBlank() }?.let(WireJson::parseToJsonElement)
            val value = body?.jsonObject?.get("leaving")?.jsonPrimitive?.contentOrNull
            leaving(value != "false")
        }
    }

    private suspend fun serve(server: StandInHttpServer, ctx: Context, handler: () -> Unit) {
        ctx.header(REQUEST_ID)?.let { ctx.header(REQUEST_ID, it) }
        val faults = faultState.get()
        val refusal = when {
            leaving || faultOccurs(faults.refuse503) -> "leaving" to SERVICE_UNAVAILABLE
            running.get() >= config.maxRunning -> "full" to TOO_MANY_REQUESTS
            else -> null
        }
        if (refusal != null) {
            ctx.sendJson(mapOf("error" to refusal.first), refusal.second)
            return
        }
        running.incrementAndGet()
        try {
            delay(config.workMillis + faults.slowMillis)
            server.awaitNotFrozen()
            handler()
        } finally {
            running.decrementAndGet()
        }
        if (faultOccurs(faults.loseAnswers)) server.closeConnection(ctx)
    }

    private fun book(ctx: Context) {
        val body = runCatching { WireJson.parseToJsonElement(ctx.body()).jsonObject }.getOrNull()
        val bookingId = (body?.get("bookingId") as? JsonPrimitive)?.contentOrNull
        if (body == null || bookingId == null) {
            ctx.sendJson(mapOf("error" to "noBookingId"), BAD_REQUEST)
            return
        }
        runCounts.computeIfAbsent(bookingId) { AtomicInteger() }.incrementAndGet()
        val booking = Booking(lastNumber.incrementAndGet(), body)
        bookings[bookingId] = booking
        ctx.sendJson(bookingJson(bookingId, booking), CREATED)
    }

    private fun find(ctx: Context) {
        val bookingId = ctx.pathParam("id")
        val booking = bookings[bookingId]
        if (booking == null) {
            ctx.sendJson(mapOf("error" to "notFound"), NOT_FOUND)
        } else {
            ctx.sendJson(bookingJson(bookingId, booking))
        }
    }

    private fun status(ctx: Context) {
        ctx.sendJson(
            buildJsonObject {
                put("instance", config.id)
                put("status", "ok")
                put("bookings", bookings.size)
            }
        )
    }

    private fun bookingJson(bookingId: String, booking: Booking): JsonObject = buildJsonObject {
        put("bookingId", bookingId)
        put("number", booking.number)
        put("instance", config.id)
        put("booking", booking.body)
    }

    private fun takeReport() = LoadReport(
        instance = InstanceId(config.id),
        running = running.get(),
        slots = config.maxRunning,
        leaving = leaving,
        takenAtMillis = System.currentTimeMillis(),
        sequence = reports.incrementAndGet()
    )

    private fun faultOccurs(probability: Double): Boolean =
        probability > 0 && random.get().nextDouble() < probability

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
        const val CREATED = 201
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val TOO_MANY_REQUESTS = 429
        const val SERVICE_UNAVAILABLE = 503
    }
}
