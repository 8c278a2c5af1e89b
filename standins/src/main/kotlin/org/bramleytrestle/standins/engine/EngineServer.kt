package org.bramleytrestle.standins.engine

import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.standins.StandInHttpServer
import org.bramleytrestle.standins.WireJson
import org.bramleytrestle.standins.attemptParam
import org.bramleytrestle.standins.sendJson

/**
 * A stand-in engine that listens on loopback. One process can run several.
 *
 * @param onCrash action of the `dieAfterSteps` fault; by default it kills this engine only.
 */
public class EngineServer(
    private val config: EngineConfig,
    private val onCrash: (EngineServer) -> Unit = EngineServer::kill
) {
    private val faultState = AtomicReference(EngineFaults())
    private val random = AtomicReference(Random(config.seed))
    private val stepsUntilFault = AtomicLong()
    private val core = EngineCore(config, faultState::get)
    private val orders = OrderAcceptor(config.checksFencing)
    private val hops = HopClient(config.hopTimeoutMillis)
    private val streams = ConcurrentHashMap<Pair<String, Int>, Job>()
    private val visibleReport = AtomicReference(core.report())
    private val pendingReport = AtomicReference(visibleReport.get())
    private val http = StandInHttpServer("engine-${config.id}", config.port, ::routes)

    init {
        if (config.reportLagMillis > 0) {
            http.scope.launch {
                while (isActive) {
                    delay(config.reportLagMillis)
                    visibleReport.set(pendingReport.getAndSet(core.report()))
                }
            }
        }
        http.scope.launch {
            while (isActive) {
                delay(config.idleMillis / IDLE_CHECKS_PER_TIMEOUT)
                core.evictIdle()
            }
        }
    }

    public val id: InstanceId get() = InstanceId(config.id)
    public val port: Int get() = http.port
    public val address: String get() = "http://127.0.0.1:$port"
    public val counts: EngineCounts get() =
        core.counts(streams.size, orders.accepted, orders.staleAccepted)

    /** Replaces all faults. */
    public fun faults(faults: EngineFaults) {
        faultState.set(faults)
        random.set(Random(faults.seed))
        stepsUntilFault.set(faults.dieAfterSteps ?: faults.freezeAfterSteps ?: Long.MAX_VALUE)
        http.setFrozen(faults.freeze)
    }

    public fun leaving(value: Boolean) {
        core.leaving = value
    }

    /** Stops the engine abruptly and closes its connections. */
    public fun kill() {
        core.clear()
        http.kill()
    }

    private fun routes(server: StandInHttpServer, routes: RoutesConfig) {
        routes.post("/v1/stage/step") { ctx -> server.handle(ctx) { step(server, ctx) } }
        routes.post("/v1/stream") { ctx -> server.handle(ctx) { stream(server, ctx) } }
        routes.delete("/v1/requests/{request}") { ctx -> server.handle(ctx) { cancel(ctx) } }
        routes.put("/v1/requests/{request}/priority") { ctx ->
            server.handle(ctx) { setPriority(ctx) }
        }
        routes.get("/v1/report") { ctx -> server.handle(ctx) { ctx.sendJson(report()) } }
        routes.get("/v1/cache-events") { ctx ->
            server.handle(ctx) {
                val after = ctx.queryParam("after")?.toLongOrNull() ?: 0
                ctx.sendJson(CacheEventsMessage(core.cacheEventsAfter(after)))
            }
        }
        routes.post("/v1/orders") { ctx -> server.handle(ctx) { acceptOrder(ctx) } }
        routes.get("/v1/kv/{request}") { ctx -> server.handle(ctx) { exportKv(ctx) } }
        routes.put("/v1/kv/{request}") { ctx -> server.handle(ctx) { importKv(ctx) } }
        routes.get("/standin/counts") { ctx -> ctx.sendJson(counts) }
        routes.put("/standin/faults") { ctx ->
            faults(WireJson.decodeFromString<EngineFaults>(ctx.body()))
        }
        routes.put("/standin/leaving") { ctx ->
            val text = ctx.body().ifBlank { "{}" }
            leaving(WireJson.decodeFromString<LeavingMessage>(text).leaving)
        }
    }

    private suspend fun step(server: StandInHttpServer, ctx: Context) {
        val request = WireJson.decodeFromString<StepRequest>(ctx.body())
        val result = core.step(request, ::onStepExecuted)
        server.awaitNotFrozen()
        when (result) {
            is StepResult.Refused -> ctx.sendJson(ErrorMessage(result.error), result.status)

            is StepResult.Executed -> {
                val delayMillis = faultState.get().linkDelayMillis
                if (delayMillis > 0) delay(delayMillis)
                if (faultOccurs(faultState.get().dropConnections)) {
                    server.closeConnection(ctx)
                } else {
                    ctx.sendJson(result.response.copy(request = responseRequestId(request.request)))
                }
            }
        }
    }

    private suspend fun stream(server: StandInHttpServer, ctx: Context) {
        val request = WireJson.decodeFromString<StreamRequest>(ctx.body())
        val refusal = when {
            core.refusesNewRequests() -> ErrorMessage("leaving") to SERVICE_UNAVAILABLE
            core.isFull() -> ErrorMessage("full") to TOO_MANY_REQUESTS
            else -> null
        }
        if (refusal != null) {
            ctx.sendJson(refusal.first, refusal.second)
            return
        }
        val key = request.request to request.attempt
        val job = server.scope.launch { writeStream(server, ctx, request) }
        streams[key] = job
        job.join()
        streams.remove(key, job)
    }

    private suspend fun writeStream(
        server: StandInHttpServer,
        ctx: Context,
        request: StreamRequest
    ) {
        ctx.res().contentType = "text/event-stream"
        val sse = SseWriter(ctx.res().outputStream, server::awaitNotFrozen)
        var tokens = 0
        val pings = server.scope.launch {
            while (isActive) {
                delay(config.pingMillis)
                if (sse.idleMillis >= config.pingMillis) {
                    tryWrite({ it.cancel() }) {
                        sse.write("ping", "{}")
                    }
                }
            }
        }
        try {
            StreamDriver(id, core, hops, request, ::onStepExecuted) { event, data ->
                val faults = faultState.get()
                if (event == "token") tokens++
                val limit = faults.truncateAfterTokens
                if (limit != null && (tokens > limit || event == "done")) {
                    throw StreamTruncatedException()
                }
                if (event == "token" && faultOccurs(faults.dropConnections)) {
                    server.closeConnection(ctx)
                    throw StreamTruncatedException()
                }
                val id = responseRequestId(request.request)
                val text = if (id == request.request) data else data.replace(request.request, id)
                sse.write(event, text)
            }.run()
        } catch (e: StreamTruncatedException) {
            // An injected fault ends the response without a terminal event.
        } catch (e: IOException) {
            // The client closed the connection; the driver has already cancelled the other hops.
        } finally {
            pings.cancel()
        }
    }

    private suspend fun tryWrite(onFailure: (Job) -> Unit, write: suspend () -> Unit) {
        try {
            write()
        } catch (e: IOException) {
            kotlin.coroutines.coroutineContext[Job]?.let(onFailure)
        }
    }

    private fun cancel(ctx: Context) {
        val request = ctx.pathParam("request")
        val attempt = ctx.attemptParam()
        core.cancel(request, attempt)
        streams[request to attempt]?.cancel()
        ctx.status(NO_CONTENT)
    }

    private fun setPriority(ctx: Context) {
        val value = ctx.queryParam("value")?.toIntOrNull()
        when {
            value == null -> ctx.sendJson(ErrorMessage("noValue"), BAD_REQUEST)

            core.setPriority(ctx.pathParam("request"), ctx.attemptParam(), value) ->
                ctx.status(NO_CONTENT)

            else -> ctx.sendJson(ErrorMessage("notFound"), NOT_FOUND)
        }
    }

    private fun acceptOrder(ctx: Context) {
        val order = WireJson.decodeFromString<OrderMessage>(ctx.body())
        val highest = orders.accept(order, faultState.get().ignoreFencing)
        if (highest != null) {
            ctx.sendJson(ErrorMessage("staleFencingNumber", highest), CONFLICT)
            return
        }
        if (order.action == "loadModel" || order.action == "switchVersion") {
            core.model = order.model
            core.version = order.version
        }
        ctx.sendJson(LeavingMessage(core.leaving))
    }

    private fun exportKv(ctx: Context) {
        val message = core.exportKv(ctx.pathParam("request"), ctx.attemptParam())
        if (message == null) {
            ctx.sendJson(ErrorMessage("notFound"), NOT_FOUND)
        } else {
            ctx.sendJson(message)
        }
    }

    private fun importKv(ctx: Context) {
        val message = WireJson.decodeFromString<KvMessage>(ctx.body()).copy(
            request = ctx.pathParam("request"),
            attempt = ctx.attemptParam()
        )
        if (core.importKv(message)) {
            ctx.status(NO_CONTENT)
        } else {
            ctx.sendJson(ErrorMessage("kvMismatch"), CONFLICT)
        }
    }

    private fun report(): LoadReport =
        if (config.reportLagMillis > 0) visibleReport.get() else core.report()

    private fun onStepExecuted() {
        if (stepsUntilFault.decrementAndGet() != 0L) return
        if (faultState.get().dieAfterSteps != null) onCrash(this) else http.setFrozen(true)
    }

    private fun faultOccurs(probability: Double): Boolean =
        probability > 0 && random.get().nextDouble() < probability

    /** Returns the id to respond with: that of another request if `crossedAnswers` applies. */
    private fun responseRequestId(request: String): String {
        if (!faultOccurs(faultState.get().crossedAnswers)) return request
        return streams.keys.firstOrNull { it.first != request }?.first ?: "crossed-$request"
    }

    private class StreamTruncatedException : Exception()

    private companion object {
        const val IDLE_CHECKS_PER_TIMEOUT = 10
        const val NO_CONTENT = 204
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val TOO_MANY_REQUESTS = 429
        const val SERVICE_UNAVAILABLE = 503
    }
}
