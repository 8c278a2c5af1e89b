package org.bramleytrestle.backend

import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import kotlin.time.toJavaDuration
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.OkHttpClient

/**
 * One connection pool per address, so that the connections of a silent server can be closed without
 * those of the others. No client repeats a call or follows a redirect by itself.
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
        .connectTimeout(options.connectBound.toJavaDuration())
        .readTimeout(0, TimeUnit.SECONDS)
        .addNetworkInterceptor(RetryAfterGuard)
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

    /** For single calls; their bounds are set for each call. */
    fun client(address: String): OkHttpClient = clients(address).calls

    /** For streams, which fail when no byte comes for the inactivity bound. */
    fun streamClient(address: String): OkHttpClient = clients(address).streams

    /** A client that opens a new connection for each call and keeps none. */
    fun freshClient(): OkHttpClient = fresh

    /** Closes the idle connections to [address], which may be as silent as the one that failed. */
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
            val bound = options.inactivityBound.toJavaDuration()
            Clients(calls, calls.newBuilder().readTimeout(bound).build())
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
