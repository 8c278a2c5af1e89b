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
import org.bramleytrestle.standins.HttpStandin
import org.bramleytrestle.standins.WireJson
import org.bramleytrestle.standins.attempt
import org.bramleytrestle.standins.send

/**
 * A stand-in engine on loopback; many fit in one process.
 *
 * @param onDeath what `dieAfterSteps` does; the default cuts all connections of this engine only.
 */
public class EngineServer(
    private val config: EngineConfig,
    private val onDeath: (EngineServer) -> Unit = EngineServer::kill
) {
    private val faultState = AtomicReference(EngineFaults())
    private val random = AtomicReference(Random(config.seed))
    private val stepsUntilFault = AtomicLong()
    private val core = EngineCore(config, faultState::get)
    private val orders = OrderBook(config.checksFencing)
    private val hops = HopClient(config.hopTimeoutMillis)
    private val streams = ConcurrentHashMap<Pair<String, Int>, Job>()
    private val visibleReport = AtomicReference(core.report())
    private val pendingReport = AtomicReference(visibleReport.get())
    private val http = HttpStandin("engine-${config.id}", config.port, ::routes)

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
                delay(config.idleMillis / IDLE_CHECKS)
                core.dropIdle()
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
        http.freeze(faults.freeze)
    }

    public fun leaving(value: Boolean) {
        core.leaving = value
    }

    /** Ends the engine at once, cutting its connections. */
    public fun kill() {
        core.clear()
        http.kill()
    }

    private fun routes(standin: HttpStandin, routes: RoutesConfig) {
        routes.post("/v1/stage/step") { ctx -> standin.answer(ctx) { step(standin, ctx) } }
        routes.post("/v1/stream") { ctx -> standin.answer(ctx) { stream(standin, ctx) } }
        routes.delete("/v1/requests/{request}") { ctx -> standin.answer(ctx) { cancel(ctx) } }
        routes.put("/v1/requests/{request}/priority") { ctx ->
            standin.answer(ctx) { priority(ctx) }
        }
        routes.get("/v1/report") { ctx -> standin.answer(ctx) { ctx.send(report()) } }
        routes.get("/v1/cache-events") { ctx ->
            standin.answer(ctx) {
                val after = ctx.queryParam("after")?.toLongOrNull() ?: 0
                ctx.send(CacheEventsMessage(core.cacheEventsAfter(after)))
            }
        }
        routes.post("/v1/orders") { ctx -> standin.answer(ctx) { order(ctx) } }
        routes.get("/v1/kv/{request}") { ctx -> standin.answer(ctx) { exportKv(ctx) } }
        routes.put("/v1/kv/{request}") { ctx -> standin.answer(ctx) { importKv(ctx) } }
        routes.get("/standin/counts") { ctx -> ctx.send(counts) }
        routes.put("/standin/faults") { ctx ->
            faults(WireJson.decodeFromString<EngineFaults>(ctx.body()))
        }
        routes.put("/standin/leaving") { ctx ->
            val text = ctx.body().ifBlank { "{}" }
            leaving(WireJson.decodeFromString<LeavingMessage>(text).leaving)
        }
    }

    private suspend fun step(standin: HttpStandin, ctx: Context) {
        val request = WireJson.decodeFromString<StepRequest>(ctx.body())
        val result = core.step(request, ::onRan)
        standin.thawed()
        when (result) {
            is StepResult.Refused -> ctx.send(ErrorMessage(result.error), result.status)

            is StepResult.Ran -> {
                val delayMillis = faultState.get().linkDelayMillis
                if (delayMillis > 0) delay(delayMillis)
                if (chance(faultState.get().dropConnections)) {
                    standin.cut(ctx)
                } else {
                    ctx.send(result.answer.copy(request = crossed(request.request)))
                }
            }
        }
    }

    private suspend fun stream(standin: HttpStandin, ctx: Context) {
        val request = WireJson.decodeFromString<StreamRequest>(ctx.body())
        val refusal = when {
            core.refusesNewRequests() -> ErrorMessage("leaving") to UNAVAILABLE
            core.isFull() -> ErrorMessage("full") to TOO_MANY
            else -> null
        }
        if (refusal != null) {
            ctx.send(refusal.first, refusal.second)
            return
        }
        val key = request.request to request.attempt
        val job = standin.scope.launch { drive(standin, ctx, request) }
        streams[key] = job
        job.join()
        streams.remove(key, job)
    }

    private suspend fun drive(standin: HttpStandin, ctx: Context, request: StreamRequest) {
        ctx.res().contentType = "text/event-stream"
        val sse = SseWriter(ctx.res().outputStream, standin::thawed)
        var tokens = 0
        val pings = standin.scope.launch {
            while (isActive) {
                delay(config.pingMillis)
                if (sse.idleMillis >= config.pingMillis) {
                    writeOr({ it.cancel() }) {
                        sse.write("ping", "{}")
                    }
                }
            }
        }
        try {
            StreamDriver(id, core, hops, request, ::onRan) { event, data ->
                val faults = faultState.get()
                if (event == "token") tokens++
                val cut = faults.truncateAfterTokens
                if (cut != null && (tokens > cut || event == "done")) throw Truncated()
                if (event == "token" && chance(faults.dropConnections)) {
                    standin.cut(ctx)
                    throw Truncated()
                }
                val id = crossed(request.request)
                val text = if (id == request.request) data else data.replace(request.request, id)
                sse.write(event, text)
            }.run()
        } catch (e: Truncated) {
            // The response ends without a terminal event.
        } catch (e: IOException) {
            // The reader closed the connection; the driver has cancelled the other hops.
        } finally {
            pings.cancel()
        }
    }

    private suspend fun writeOr(onFailure: (Job) -> Unit, write: suspend () -> Unit) {
        try {
            write()
        } catch (e: IOException) {
            kotlin.coroutines.coroutineContext[Job]?.let(onFailure)
        }
    }

    private fun cancel(ctx: Context) {
        val request = ctx.pathParam("request")
        val attempt = ctx.attempt()
        core.cancel(request, attempt)
        streams[request to attempt]?.cancel()
        ctx.status(NO_CONTENT)
    }

    private fun priority(ctx: Context) {
        val value = ctx.queryParam("value")?.toIntOrNull()
        when {
            value == null -> ctx.send(ErrorMessage("noValue"), BAD_REQUEST)

            core.setPriority(ctx.pathParam("request"), ctx.attempt(), value) ->
                ctx.status(NO_CONTENT)

            else -> ctx.send(ErrorMessage("notFound"), NOT_FOUND)
        }
    }

    private fun order(ctx: Context) {
        val order = WireJson.decodeFromString<OrderMessage>(ctx.body())
        val highest = orders.accept(order, faultState.get().ignoreFencing)
        if (highest != null) {
            ctx.send(ErrorMessage("staleFencingNumber", highest), CONFLICT)
            return
        }
        if (order.action == "loadModel" || order.action == "switchVersion") {
            core.model = order.model
            core.version = order.version
        }
        ctx.send(LeavingMessage(core.leaving))
    }

    private fun exportKv(ctx: Context) {
        val message = core.exportKv(ctx.pathParam("request"), ctx.attempt())
        if (message == null) {
            ctx.send(ErrorMessage("notFound"), NOT_FOUND)
        } else {
            ctx.send(message)
        }
    }

    private fun importKv(ctx: Context) {
        val message = WireJson.decodeFromString<KvMessage>(ctx.body()).copy(
            request = ctx.pathParam("request"),
            attempt = ctx.attempt()
        )
        if (core.importKv(message)) {
            ctx.status(NO_CONTENT)
        } else {
            ctx.send(ErrorMessage("kvMismatch"), CONFLICT)
        }
    }

    private fun report(): LoadReport =
        if (config.reportLagMillis > 0) visibleReport.get() else core.report()

    private fun onRan() {
        if (stepsUntilFault.decrementAndGet() != 0L) return
        if (faultState.get().dieAfterSteps != null) onDeath(this) else http.freeze(true)
    }

    private fun chance(probability: Double): Boolean =
        probability > 0 && random.get().nextDouble() < probability

    private fun crossed(request: String): String {
        if (!chance(faultState.get().crossedAnswers)) return request
        return streams.keys.firstOrNull { it.first != request }?.first ?: "crossed-$request"
    }

    private class Truncated : Exception()

    private companion object {
        const val IDLE_CHECKS = 10
        const val NO_CONTENT = 204
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val TOO_MANY = 429
        const val UNAVAILABLE = 503
    }
}
