package org.bramleytrestle.backend

import java.io.IOException
import kotlin.time.Duration
import kotlin.time.TimeSource
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import okhttp3.MediaType.Companion.toMediaTypeOrNull
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.Response

/**
 * Calls plain services over HTTP. A call that may not be repeated is sent once: the clients of
 * [HttpPools] repeat nothing, and the body is one-shot.
 */
internal class HttpServiceClient(
    private val pools: HttpPools,
    private val options: BackendOptions,
    private val probes: Probes,
    private val clock: TimeSource = TimeSource.Monotonic
) : ServiceClient {
    override suspend fun call(call: ServiceCall): ServiceOutcome {
        if (!call.mayRepeat) return supervised(call)
        val started = clock.markNow()
        val bound = minOf(call.timeout, options.inactivityBound)
        val outcome = send(call, pools.client(call.address), bound)
        val remaining = call.timeout - started.elapsedNow()
        val failure = (outcome as? ServiceOutcome.Unknown)?.failure
        if (failure !in REPEATED || !remaining.isPositive()) return outcome
        return send(call, pools.freshClient(), remaining)
    }

    /** Gives up before the call's own bound if the server is silent on new connections too. */
    private suspend fun supervised(call: ServiceCall): ServiceOutcome = coroutineScope {
        val running = async { send(call, pools.client(call.address), call.timeout) }
        var outcome: ServiceOutcome? = null
        while (outcome == null) {
            outcome = withTimeoutOrNull(options.heartbeat) { running.await() }
            if (outcome == null && probes.failure(call.address) != null && running.isActive) {
                running.cancel()
                pools.evict(call.address)
                outcome = ServiceOutcome.Unknown(HopFailure.SILENT)
            }
        }
        outcome
    }

    private suspend fun send(
        call: ServiceCall,
        client: OkHttpClient,
        bound: Duration
    ): ServiceOutcome {
        val record = SendRecord()
        return try {
            client.newCall(request(call, record)).bounded(bound).await { read(call, it) }
        } catch (e: IOException) {
            val failure = record.failureOf(e)
            if (failure == HopFailure.SILENT) pools.evict(call.address)
            if (failure.notRun) {
                ServiceOutcome.NotRun(failure)
            } else {
                ServiceOutcome.Unknown(failure)
            }
        }
    }

    private fun request(call: ServiceCall, record: SendRecord): Request {
        val builder = Request.Builder().url(call.address + call.path).record(record)
        val dropped = HopByHop.names(call.headers)
        call.headers.filterKeys { it.lowercase() !in dropped }
            .forEach { (name, value) -> builder.header(name, value) }
        builder.header(REQUEST_ID, call.request.value)
        val type = call.headers.entries
            .firstOrNull { it.key.equals("Content-Type", ignoreCase = true) }
            ?.value?.toMediaTypeOrNull()
        val bytes = call.body ?: ByteArray(0).takeIf { call.method in BODY_METHODS }
        return builder.method(call.method, bytes?.let { OneShotBody(it, type) }).build()
    }

    private fun read(call: ServiceCall, response: Response): ServiceOutcome {
        val echoed = response.header(REQUEST_ID)
        if (echoed != null && echoed != call.request.value) {
            pools.evict(call.address)
            return ServiceOutcome.Unknown(HopFailure.MISMATCH)
        }
        val source = response.body.source()
        if (source.request(options.maxBodyBytes + 1)) {
            return ServiceOutcome.Unknown(HopFailure.ENGINE_ERROR)
        }
        val body = source.readByteArray()
        val stated = statedFailure(response.code, body.decodeToString())
        if (stated == HopFailure.LEAVING || stated == HopFailure.FULL) {
            return ServiceOutcome.NotRun(stated)
        }
        val headers = response.headers.associate { (name, value) ->
            RetryAfterGuard.originalName(name) to value
        }
        val dropped = HopByHop.names(headers)
        return ServiceOutcome.Answer(
            response.code,
            headers.filterKeys { it.lowercase() !in dropped },
            body
        )
    }

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
        val BODY_METHODS = setOf("POST", "PUT", "PATCH")
        val REPEATED = setOf(HopFailure.BROKEN, HopFailure.SILENT)
    }
}
