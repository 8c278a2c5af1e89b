package org.bramleytrestle.backend

import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import kotlin.time.toJavaDuration
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.OkHttpClient
import org.bramleytrestle.http.SoundAnswerInterceptor
import org.bramleytrestle.http.SoundSocketFactory

/**
 * HTTP clients with one connection pool per address, so that the connections to an unresponsive
 * server can be closed separately. No client retries calls or follows redirects.
 */
internal class HttpPools(private val options: BackendOptions) : AutoCloseable {
    private class Clients(val calls: OkHttpClient, val streams: OkHttpClient)

    private val executor = ThreadPoolExecutor(
        0,
        Int.MAX_VALUE,
        KEEP_ALIVE_SECONDS,
        TimeUnit.SECONDS,
        SynchronousQueue()
    ) { task -> Thread(task, "backend-http").apply { isDaemon = true } }

    private val base = OkHttpClient.Builder()
        .dispatcher(
            Dispatcher(executor).apply {
                maxRequests = Int.MAX_VALUE
                maxRequestsPerHost = Int.MAX_VALUE
            }
        )
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .followSslRedirects(false)
        .connectTimeout(options.connectTimeout.toJavaDuration())
        .readTimeout(0, TimeUnit.SECONDS)
        .addNetworkInterceptor(RetryAfterInterceptor)
        .addNetworkInterceptor(SoundAnswerInterceptor)
        .socketFactory(SoundSocketFactory)
        .eventListenerFactory { call ->
            call.request().tag(SendRecord::class.java) ?: SendRecord()
        }
        .build()

    private val fresh = base.newBuilder()
        .connectionPool(ConnectionPool(0, 1, TimeUnit.NANOSECONDS))
        .build()

    private val clients =
        object : LinkedHashMap<String, Clients>(INITIAL_ADDRESSES, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<String, Clients>): Boolean =
                size > MAX_ADDRESSES
        }

    /** Client for calls without streaming; timeouts are set per call. */
    fun client(address: String): OkHttpClient = clients(address).calls

    /** Client for streams, which fail if no byte arrives within the inactivity timeout. */
    fun streamClient(address: String): OkHttpClient = clients(address).streams

    /** Client that opens a new connection for each call and does not keep it. */
    fun freshClient(): OkHttpClient = fresh

    /** Closes idle connections to [address], which may be as unresponsive as the failed one. */
    fun evict(address: String) {
        synchronized(clients) { clients[address] }?.calls?.connectionPool?.evictAll()
    }

    override fun close() {
        synchronized(clients) { clients.values.forEach { it.calls.connectionPool.evictAll() } }
        executor.shutdown()
    }

    private fun clients(address: String): Clients = synchronized(clients) {
        clients.getOrPut(address) {
            val pool = ConnectionPool(IDLE_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
            val calls = base.newBuilder().connectionPool(pool).build()
            val timeout = options.inactivityTimeout.toJavaDuration()
            Clients(calls, calls.newBuilder().readTimeout(timeout).build())
        }
    }

    private companion object {
        const val KEEP_ALIVE_SECONDS = 30L
        const val IDLE_CONNECTIONS = 64
        const val INITIAL_ADDRESSES = 64
        const val MAX_ADDRESSES = 2048
        const val LOAD_FACTOR = 0.75f
    }
}
