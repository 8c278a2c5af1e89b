package org.bramleytrestle.standins

import io.javalin.Javalin
import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import java.io.Closeable
import java.net.ConnectException
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CompletableFuture
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool

/**
 * HTTP server of a stand-in, bound to loopback. Handlers are coroutines, so a suspended request
 * holds no thread. The whole server can be frozen or killed to simulate a failure.
 */
internal class StandInHttpServer(
    name: String,
    port: Int,
    routes: (StandInHttpServer, RoutesConfig) -> Unit
) {
    private val frozen = MutableStateFlow(false)
    private lateinit var connector: ServerConnector

    val scope: CoroutineScope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    private val javalin: Javalin = Javalin.create { config ->
        config.startup.showJavalinBanner = false
        config.startup.showOldJavalinVersionWarning = false
        config.startup.startupWatcherEnabled = false
        config.http.maxRequestSize = MAX_BODY_BYTES
        config.jetty.threadPool = QueuedThreadPool(MAX_THREADS, MIN_THREADS).apply {
            this.name = name
            isDaemon = true
        }
        config.jetty.addConnector { server, http ->
            http.sendServerVersion = false
            ServerConnector(server, 1, 1, HttpConnectionFactory(http)).also {
                it.host = LOOPBACK
                it.port = port
                it.idleTimeout = IDLE_TIMEOUT_MILLIS
                connector = it
            }
        }
        routes(this, config.routes)
    }.start()

    val port: Int = connector.localPort

    /** While frozen, requests run by [handle] get no data and their connections stay open. */
    fun setFrozen(value: Boolean) {
        frozen.value = value
    }

    /** Suspends while the server is frozen. */
    suspend fun awaitNotFrozen() {
        if (frozen.value) frozen.first { !it }
    }

    /** Runs [handler] for [ctx]. While frozen, no handler starts and no response is completed. */
    fun handle(ctx: Context, handler: suspend () -> Unit) {
        val done = CompletableFuture<Unit>()
        scope.launch {
            try {
                awaitNotFrozen()
                handler()
                awaitNotFrozen()
                done.complete(Unit)
            } catch (e: CancellationException) {
                // A killed server sends no response, not even an error.
                throw e
            } catch (e: Exception) {
                done.completeExceptionally(e)
            }
        }
        ctx.future { done }
    }

    /** Closes the connection of [ctx] without a response. */
    fun closeConnection(ctx: Context) {
        val request = ServletContextRequest.getServletContextRequest(ctx.req())
        request.connectionMetaData.connection.endPoint.close()
    }

    /**
     * Stops abruptly: closes the port and all connections. The channels are closed directly because
     * closing Jetty's endpoints runs the callbacks of pending responses on this thread.
     */
    fun kill() {
        connector.close()
        awaitPortClosed()
        connector.connectedEndPoints.forEach { (it.transport as? Closeable)?.close() }
        scope.cancel()
        Thread { javalin.stop() }.apply { isDaemon = true }.start()
    }

    /** The port keeps accepting connections until Jetty's acceptor thread returns from accept(). */
    private fun awaitPortClosed() {
        repeat(MAX_CONNECT_ATTEMPTS) {
            try {
                Socket(LOOPBACK, port).close()
            } catch (_: ConnectException) {
                return
            } catch (_: SocketException) {
                // Reset while the port was closing; the next attempt shows whether it is closed.
            }
            Thread.sleep(CONNECT_INTERVAL_MILLIS)
        }
        error(
            "killed server: port $port still accepts connections at attempt $MAX_CONNECT_ATTEMPTS"
        )
    }

    private companion object {
        /** 2 s in total, far longer than a loaded machine needs to schedule the acceptor thread. */
        const val MAX_CONNECT_ATTEMPTS = 1_000
        const val CONNECT_INTERVAL_MILLIS = 2L
        const val LOOPBACK = "127.0.0.1"
        const val MAX_BODY_BYTES = 16L * 1024 * 1024
        const val MAX_THREADS = 24
        const val MIN_THREADS = 3
        const val IDLE_TIMEOUT_MILLIS = 120_000L
    }
}
