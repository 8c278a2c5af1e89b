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
import okhttp3.Call
import okhttp3.Callback
import okhttp3.ConnectionPool
import okhttp3.ConnectionSpec
import okhttp3.Dispatcher
import okhttp3.EventListener
import okhttp3.HttpUrl
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.Response
import okio.BufferedSink
import org.bramleytrestle.http.OversizedBodyException
import org.bramleytrestle.http.SoundAnswerInterceptor
import org.bramleytrestle.http.SoundSocketFactory

/**
 * Sends each call to the object API once and reports whether a call without a response may have
 * been executed.
 *
 * A connection can stop responding permanently. Each call therefore has a total time limit of
 * [callTimeout], and a call that times out closes its connection and evicts all idle ones.
 *
 * @param cleartextOnly whether the store is never called over TLS. Reading the trusted certificates
 * then takes no part of the start.
 */
public class StoreHttpClient(
    public val callTimeout: Duration = 2.seconds,
    connectTimeout: Duration = 1.seconds,
    cleartextOnly: Boolean = false
) : AutoCloseable {
    private val pool = ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_SECONDS, TimeUnit.SECONDS)
    private val dispatcher = Dispatcher().apply {
        maxRequests = MAX_CALLS
        maxRequestsPerHost = MAX_CALLS
    }

    // OkHttp retries a request after a connection failure, a redirect, a 408 or a 503 with
    // `Retry-After: 0`. A write must not be retried, and no retry may bypass the call budget.
    private val client = OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .followSslRedirects(false)
        .addNetworkInterceptor { chain ->
            chain.proceed(chain.request()).newBuilder().removeHeader("Retry-After").build()
        }
        .addNetworkInterceptor(SoundAnswerInterceptor)
        .socketFactory(SoundSocketFactory)
        .eventListenerFactory { call -> call.request().tag(WriteProgress::class.java)!! }
        .apply { if (cleartextOnly) connectionSpecs(listOf(ConnectionSpec.CLEARTEXT)) }
        .connectionPool(pool)
        .dispatcher(dispatcher)
        .connectTimeout(connectTimeout.toJavaDuration())
        .readTimeout(callTimeout.toJavaDuration())
        .writeTimeout(callTimeout.toJavaDuration())
        .callTimeout(callTimeout.toJavaDuration())
        .build()

    // An open watch receives no data until something changes; if the connection has stopped
    // responding, the total time limit ends it.
    private val watchClient = client.newBuilder().readTimeout(0, TimeUnit.SECONDS).build()

    /**
     * Sends a request to [url].
     *
     * @param watchTime time for which the store may delay its response; null for a plain call.
     * @param method sets the HTTP method and body; the default is GET.
     * @param outcome maps the response to the result of the call.
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
                continuation.resume(failure(request, e))
            }

            override fun onResponse(call: Call, response: Response) {
                val result = try {
                    response.use { body ->
                        val storeResponse = StoreResponse(request, body)
                        val result = try {
                            outcome(storeResponse)
                        } catch (cause: OversizedBodyException) {
                            call.cancel()
                            throw cause
                        }
                        // When a body is closed before its end, as that of a watch may be, OkHttp
                        // tries for up to 100 ms to drain it. Cancelling the call avoids the wait.
                        if (watchTime != null && !storeResponse.exhausted) call.cancel()
                        result
                    }
                } catch (cause: OversizedBodyException) {
                    log.warn { "store: ${request.method} ${request.url}: $cause" }
                    // What has changed since can be read page by page instead.
                    if (watchTime == null) failure(request, cause) else Err(StoreError.EXPIRED)
                } catch (cause: IOException) {
                    failure(request, cause)
                } catch (cause: IllegalArgumentException) {
                    failure(request, cause)
                } catch (cause: Throwable) {
                    // Without a result the caller would wait forever.
                    log.error { "store: ${request.method} ${request.url}: answer not read: $cause" }
                    failure(request, IOException("answer not read", cause))
                }
                continuation.resume(result)
            }
        })
    }

    /** Cancels open calls and closes all connections. */
    override fun close() {
        dispatcher.cancelAll()
        dispatcher.executorService.shutdown()
        pool.evictAll()
    }

    private fun <T> failure(request: Request, cause: Exception): Result<T, StoreError> {
        log.debug { "store: ${request.method} ${request.url}: $cause" }
        if (cause is InterruptedIOException) pool.evictAll()
        val progress = checkNotNull(request.tag(WriteProgress::class.java))
        return Err(errorFor(request, notRun = !progress.started))
    }

    /** Tracks whether any byte of the request may have reached the store. */
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

        /** Below common server idle timeouts, as a server may close a connection during a write. */
        private const val IDLE_SECONDS = 20L

        /** A JSON body that OkHttp does not send more than once. */
        public fun body(text: String): RequestBody = OneShotBody(text.toByteArray())

        /** Error of a call without a usable response; [notRun] if it certainly had no effect. */
        internal fun errorFor(request: Request, notRun: Boolean) =
            if (notRun || request.method == "GET") {
                StoreError.UNAVAILABLE
            } else {
                StoreError.OUTCOME_UNKNOWN
            }

        private class OneShotBody(private val bytes: ByteArray) : RequestBody() {
            override fun contentType() = JSON

            override fun contentLength() = bytes.size.toLong()

            override fun isOneShot() = true

            override fun writeTo(sink: BufferedSink) {
                sink.write(bytes)
            }
        }
    }
}
