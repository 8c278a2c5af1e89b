package org.bramleytrestle.backend

import com.github.michaelbull.result.Result
import java.io.IOException
import kotlin.time.Duration
import okhttp3.Request
import org.bramleytrestle.http.boundedText
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.model.RequestId

/** Implements [EngineControl] over the HTTP protocol of the engines. */
internal class HttpEngineControl(
    private val pools: HttpPools,
    private val options: BackendOptions
) : EngineControl {
    private val engines = EngineCalls(pools, options)

    override suspend fun report(address: String): Result<LoadReport, HopFailure> = engines.get(
        pools.client(address),
        engines.url(address, "/v1/report"),
        options.inactivityTimeout
    ) { WireJson.decodeFromString<LoadReport>(it) }

    override suspend fun cacheEvents(
        address: String,
        after: Long
    ): Result<List<CacheEvent>, HopFailure> {
        val url = engines.url(address, "/v1/cache-events?after=$after")
        return engines.get(pools.client(address), url, options.inactivityTimeout) { text ->
            WireJson.decodeFromString<CacheEventsMessage>(text).events
                .map { CacheEvent(it.sequence, it.prefixHash, it.stored) }
        }
    }

    override suspend fun order(
        address: String,
        order: EngineOrder,
        timeout: Duration
    ): OrderOutcome {
        val message = OrderMessage(
            orderId = order.orderId,
            fencingNumber = order.fencingNumber,
            action = order.action.wireName,
            model = order.model.value,
            version = order.version,
            adapter = order.adapter,
            layers = order.layers
        )
        val body = OneShotBody(WireJson.encodeToString(message).toByteArray(), JsonType)
        val request = Request.Builder().url(engines.url(address, "/v1/orders")).post(body).build()
        return send(address, request, timeout) { status, text ->
            when {
                status in SUCCESS -> OrderOutcome.ACCEPTED
                status == CONFLICT && STALE in text -> OrderOutcome.STALE_FENCING_NUMBER
                else -> OrderOutcome.UNKNOWN
            }
        } ?: OrderOutcome.UNKNOWN
    }

    override suspend fun cancel(address: String, request: RequestId, attempt: Int) {
        val url = engines.requestUrl(address, request.value, attempt).build()
        val delete = Request.Builder().url(url).delete().build()
        send(address, delete, options.inactivityTimeout) { _, _ -> }
    }

    override suspend fun setPriority(
        address: String,
        request: RequestId,
        attempt: Int,
        priority: Int
    ) {
        val url = engines.requestUrl(address, request.value, attempt)
            .addPathSegment("priority")
            .addQueryParameter("value", priority.toString())
            .build()
        val put = Request.Builder().url(url).put(OneShotBody(ByteArray(0), null)).build()
        send(address, put, options.inactivityTimeout) { _, _ -> }
    }

    private suspend fun <T> send(
        address: String,
        request: Request,
        timeout: Duration,
        read: (status: Int, body: String) -> T
    ): T? = try {
        pools.client(address).newCall(request).callTimeout(timeout)
            .await { read(it.code, it.boundedText(EngineCalls.MAX_BODY_BYTES)) }
    } catch (e: IOException) {
        if (e.isTimeout()) pools.evict(address)
        null
    }

    private companion object {
        val SUCCESS = 200..299
        const val STALE = "staleFencingNumber"
    }
}
