package org.bramleytrestle.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.github.oshai.kotlinlogging.KotlinLogging
import java.io.IOException
import java.io.InterruptedIOException
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.serialization.SerializationException
import okhttp3.Call
import okhttp3.Callback
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.EventListener
import okhttp3.HttpUrl
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.Response
import okio.BufferedSink

/**
 * Sends each call to the object API once and tells whether a call without an answer can have run.
 *
 * A connection can go silent for good, so each call has a total time limit of [callTimeout], and
 * a call that times out closes its connection and drops all idle ones.
 */
public class StoreHttpClient(
    public val callTimeout: Duration = 2.seconds,
    connectTimeout: Duration = 1.seconds
) : AutoCloseable {
    private val pool = ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_SECONDS, TimeUnit.SECONDS)
    private val calls = Dispatcher().apply {
        maxRequests = MAX_CALLS
        maxRequestsPerHost = MAX_CALLS
    }

    // OkHttp repeats a request after a connection failure, a redirect, 408 or a 503 with
    // `Retry-After: 0`. A write must not be repeated, and no repetition may bypass the budget.
    private val client = OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .followSslRedirects(false)
        .addNetworkInterceptor { chain ->
            chain.proceed(chain.request()).newBuilder().removeHeader("Retry-After").build()
        }
        .eventListenerFactory { call -> call.request().tag(WriteProgress::class.java)!! }
        .connectionPool(pool)
        .dispatcher(calls)
        .connectTimeout(connectTimeout.toJavaDuration())
        .readTimeout(callTimeout.toJavaDuration())
        .writeTimeout(callTimeout.toJavaDuration())
        .callTimeout(callTimeout.toJavaDuration())
        .build()

    // An open watch is quiet until something changes; its total time limit ends a silent one.
    private val watchClient = client.newBuilder().readTimeout(0, TimeUnit.SECONDS).build()

    /**
     * Sends [url] with the method that [method] sets.
     *
     * @param watchTime time for which the store may hold its answer back; null for a plain call.
     */
    public suspend fun <T> call(
        url: HttpUrl,
        watchTime: Duration? = null,
        method: Request.Builder.() -> Unit = {},
        outcome: (StoreResponse) -> Result<T, StoreError>
    ): Result<T, StoreError> = suspendCancellableCoroutine { continuation ->
        val request = Request.Builder().url(url).apply(method)
            .tag(WriteProgress::class.java, WriteProgress()).build()
        val call = (if (watchTime == null) client else watchClient).newCall(request)
        val limit = callTimeout + (watchTime ?: Duration.ZERO)
        call.timeout().timeout(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        continuation.invokeOnCancellation { call.cancel() }
        call.enqueue(object : Callback {
            override fun onFailure(call: Call, e: IOException) {
                continuation.resume(failed(request, e))
            }

            override fun onResponse(call: Call, response: Response) {
                val result = try {
                    response.use { body ->
                        val answer = StoreResponse(request, body)
                        val result = outcome(answer)
                        // OkHttp waits 100 ms for the end of a body that is closed early, as that
                        // of a watch may be; a cancelled call has no such wait.
                        if (watchTime != null && !answer.exhausted) call.cancel()
                        result
                    }
                } catch (cause: IOException) {
                    failed(request, cause)
                } catch (cause: SerializationException) {
                    failed(request, cause)
                } catch (cause: IllegalArgumentException) {
                    failed(request, cause)
                }
                continuation.resume(result)
            }
        })
    }

    /** Ends open calls and closes all connections. */
    override fun close() {
        calls.cancelAll()
        calls.executorService.shutdown()
        pool.evictAll()
    }

    private fun <T> failed(request: Request, cause: Exception): Result<T, StoreError> {
        log.debug { "store: ${request.method} ${request.url}: $cause" }
        if (cause is InterruptedIOException) pool.evictAll()
        val progress = checkNotNull(request.tag(WriteProgress::class.java))
        return Err(lostOr(request, !progress.started))
    }

    /** Tells whether any byte of the request may have reached the store. */
    private class WriteProgress : EventListener() {
        @Volatile
        var started = false
            private set

        override fun requestHeadersStart(call: Call) {
            started = true
        }
    }

    public companion object {
        private val log = KotlinLogging.logger {}
        private val JSON = "application/json".toMediaType()
        private const val MAX_CALLS = 64
        private const val MAX_IDLE_CONNECTIONS = 4

        /** Shorter than common idle limits of servers, which close the connection under a write. */
        private const val IDLE_SECONDS = 20L

        /** A JSON body that OkHttp may send only once. */
        public fun body(text: String): RequestBody = OnceBody(text.toByteArray())

        internal fun lostOr(request: Request, notRun: Boolean) =
            if (notRun || request.method == "GET") {
                StoreError.UNAVAILABLE
            } else {
                StoreError.OUTCOME_UNKNOWN
            }

        private class OnceBody(private val bytes: ByteArray) : RequestBody() {
            override fun contentType() = JSON

            override fun contentLength() = bytes.size.toLong()

            override fun isOneShot() = true

            override fun writeTo(sink: BufferedSink) {
                sink.write(bytes)
            }
        }
    }
}
