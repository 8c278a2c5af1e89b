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
 * Calls plain services over HTTP. A call that may not be repeated is sent at most once: the clients
 * of [HttpPools] do not retry, and the request body is one-shot.
 */
internal class HttpServiceClient(
    private val pools: HttpPools,
    private val options: BackendOptions,
    private val probes: HealthProbes,
    private val clock: TimeSource = TimeSource.Monotonic
) : ServiceClient {
    override suspend fun call(call: ServiceCall): ServiceOutcome {
        if (!call.mayRepeat) return sendWithProbes(call)
        val started = clock.markNow()
        val timeout = minOf(call.timeout, options.inactivityTimeout)
        val outcome = send(call, pools.client(call.address), timeout)
        val remaining = call.timeout - started.elapsedNow()
        val failure = (outcome as? ServiceOutcome.Unknown)?.failure
        if (failure !in RETRYABLE || !remaining.isPositive()) return outcome
        return send(call, pools.freshClient(), remaining)
    }

    /** Fails before the call's timeout if the server does not respond on new connections either. */
    private suspend fun sendWithProbes(call: ServiceCall): ServiceOutcome = coroutineScope {
        val response = async { send(call, pools.client(call.address), call.timeout) }
        var outcome: ServiceOutcome? = null
        while (outcome == null) {
            outcome = withTimeoutOrNull(options.heartbeat) { response.await() }
            if (outcome == null && probes.failure(call.address) != null && response.isActive) {
                response.cancel()
                pools.evict(call.address)
                outcome = ServiceOutcome.Unknown(HopFailure.SILENT)
            }
        }
        outcome
    }

    private suspend fun send(
        call: ServiceCall,
        client: OkHttpClient,
        timeout: Duration
    ): ServiceOutcome {
        val record = SendRecord()
        return try {
            client.newCall(request(call, record)).callTimeout(timeout).await { outcomeOf(call, it) }
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
        val builder = Request.Builder().url(call.address + call.path).recordSends(record)
        val hopByHop = HopByHop.names(call.headers)
        call.headers.filterKeys { it.lowercase() !in hopByHop }
            .forEach { (name, value) -> builder.header(name, value) }
        builder.header(REQUEST_ID, call.request.value)
        val type = call.headers.entries
            .firstOrNull { it.key.equals("Content-Type", ignoreCase = true) }
            ?.value?.toMediaTypeOrNull()
        val bytes = call.body ?: ByteArray(0).takeIf { call.method in BODY_METHODS }
        return builder.method(call.method, bytes?.let { OneShotBody(it, type) }).build()
    }

    private fun outcomeOf(call: ServiceCall, response: Response): ServiceOutcome {
        val responseId = response.header(REQUEST_ID)
        if (responseId != null && responseId != call.request.value) {
            pools.evict(call.address)
            return ServiceOutcome.Unknown(HopFailure.MISMATCH)
        }
        val source = response.body.source()
        if (source.request(options.maxBodyBytes + 1)) {
            return ServiceOutcome.Unknown(HopFailure.ENGINE_ERROR)
        }
        val body = source.readByteArray()
        val failure = failureFromResponse(response.code, body.decodeToString())
        if (failure == HopFailure.LEAVING || failure == HopFailure.FULL) {
            return ServiceOutcome.NotRun(failure)
        }
        val headers = response.headers.associate { (name, value) ->
            RetryAfterInterceptor.originalName(name) to value
        }
        val hopByHop = HopByHop.names(headers)
        return ServiceOutcome.Answer(
            response.code,
            headers.filterKeys { it.lowercase() !in hopByHop },
            body
        )
    }

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
        val BODY_METHODS = setOf("POST", "PUT", "PATCH")
        val RETRYABLE = setOf(HopFailure.BROKEN, HopFailure.SILENT)
    }
}
