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
 * Loopback listener of a stand-in whose handlers are coroutines, so that a waiting request holds no
 * thread, and which can be frozen or killed as a whole.
 */
internal class HttpStandin(name: String, port: Int, routes: (HttpStandin, RoutesConfig) -> Unit) {
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

    fun freeze(value: Boolean) {
        frozen.value = value
    }

    /** Waits while the stand-in is frozen. */
    suspend fun thawed() {
        if (frozen.value) frozen.first { !it }
    }

    /** Answers [ctx] by [handler], which does not start while the stand-in is frozen. */
    fun answer(ctx: Context, handler: suspend () -> Unit) {
        val done = CompletableFuture<Unit>()
        scope.launch {
            try {
                thawed()
                handler()
                thawed()
                done.complete(Unit)
            } catch (e: CancellationException) {
                // A killed stand-in gives no answer, not even an error.
                throw e
            } catch (e: Exception) {
                done.completeExceptionally(e)
            }
        }
        ctx.future { done }
    }

    /** Cuts the connection of [ctx] without an answer. */
    fun cut(ctx: Context) {
        val request = ServletContextRequest.getServletContextRequest(ctx.req())
        request.connectionMetaData.connection.endPoint.close()
    }

    /**
     * Ends at once: the port and all connections are closed. Channels are closed directly, because
     * closing Jetty's endpoints runs callbacks of pending answers in this thread.
     */
    fun kill() {
        connector.close()
        awaitRefusal()
        connector.connectedEndPoints.forEach { (it.transport as? Closeable)?.close() }
        scope.cancel()
        Thread { javalin.stop() }.apply { isDaemon = true }.start()
    }

    /** The port accepts connections until Jetty's acceptor thread has left its call. */
    private fun awaitRefusal() {
        repeat(MAX_PROBES) {
            try {
                Socket(LOOPBACK, port).close()
            } catch (_: ConnectException) {
                return
            } catch (_: SocketException) {
                // Reset while the port closes; the next connection tells whether it has.
            }
            Thread.sleep(PROBE_PAUSE_MILLIS)
        }
        error("port $port: expected no listener after the kill")
    }

    private companion object {
        /** Together 2 s, far above the time in which a busy machine runs the acceptor. */
        const val MAX_PROBES = 1_000
        const val PROBE_PAUSE_MILLIS = 2L
        const val LOOPBACK = "127.0.0.1"
        const val MAX_BODY_BYTES = 16L * 1024 * 1024
        const val MAX_THREADS = 24
        const val MIN_THREADS = 3
        const val IDLE_TIMEOUT_MILLIS = 120_000L
    }
}
