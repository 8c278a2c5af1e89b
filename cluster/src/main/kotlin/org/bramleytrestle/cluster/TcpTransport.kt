package org.bramleytrestle.cluster

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.aSocket
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.TimeSource
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.bramleytrestle.model.guarded
import org.bramleytrestle.model.guardedBlocking

/**
 * [Transport] over TCP. Connections are opened on demand and closed when idle, since a full mesh
 * would need 1,100 sockets per node in the largest deployment. A connection on which sent frames
 * remain unanswered for three heartbeat intervals is closed, and its retained frames are sent over
 * a new one.
 */
internal class TcpTransport(
    private val settings: ClusterSettings,
    private val clock: TimeSource = TimeSource.Monotonic
) : Transport {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val selector = SelectorManager(Dispatchers.IO)
    private val handshake = Handshake(settings.peerAddress, settings.secret)
    private val connectionsByPeer = ConcurrentHashMap<String, TcpConnection>()
    private val connections: MutableSet<TcpConnection> = ConcurrentHashMap.newKeySet()
    private val unauthenticated = AtomicInteger()
    private val heartbeat = settings.intervals.heartbeat

    @Volatile
    private var stopping = false
    private lateinit var server: ServerSocket
    private lateinit var receive: suspend (String, ByteArray) -> Unit

    /** Number of connections that are open or being opened. */
    val connectionCount: Int get() = connections.size

    override suspend fun start(receive: suspend (from: String, frame: ByteArray) -> Unit) {
        this.receive = receive
        val (host, port) = hostAndPort(settings.listenAddress)
        server = aSocket(selector).tcp().bind(host, port) { reuseAddress = true }
        scope.launch { accept() }
        scope.launch { monitorConnections() }
    }

    override fun send(to: String, frame: ByteArray, delivery: Delivery) {
        if (frame.size > TcpConnection.MAX_FRAME_BYTES) {
            log.error { "cluster: frame of ${frame.size} bytes for $to exceeds the limit; dropped" }
            return
        }
        val connection = connectionsByPeer.computeIfAbsent(to) { dial(it) }
        if (!connection.queue.offer(frame, delivery)) {
            log.warn { "cluster: send queue for $to is full; closing its connection" }
            closeConnection(connection, resend = false)
        }
    }

    override fun replaceIfUnresponsive(to: String) {
        val connection = connectionsByPeer[to] ?: return
        if (!connection.established) return
        if (connection.unansweredMillis < settings.intervals.probeTimeout.inWholeMilliseconds / 2) {
            return
        }
        // Stays open for reading until monitorConnections closes it as unresponsive.
        if (connectionsByPeer.remove(to, connection)) resendRetained(connection)
    }

    override suspend fun stop() {
        stopping = true
        // Leaves time to send the last frames, such as the announcement that this node has left.
        delay(STOP_FLUSH_MILLIS)
        server.close()
        connections.forEach { it.close() }
        scope.cancel()
        selector.close()
    }

    private suspend fun accept() {
        while (!stopping) {
            if (!guarded("cluster") { acceptOne() } && !stopping) delay(heartbeat)
        }
    }

    private suspend fun acceptOne() {
        val socket = try {
            server.accept()
        } catch (e: IOException) {
            // Stopping closes the listener.
            if (stopping) return
            throw e
        }
        if (unauthenticated.get() >= MAX_UNAUTHENTICATED) {
            socket.close()
            return
        }
        val connection = TcpConnection(socket.remoteAddress.toString(), clock)
        connections += connection
        unauthenticated.incrementAndGet()
        connection.job = scope.launch {
            runConnection(connection) {
                try {
                    connection.attach(socket)
                    withTimeout(heartbeat * UNRESPONSIVE_HEARTBEATS) {
                        connection.peer = handshake.respond(connection)
                    }
                } finally {
                    unauthenticated.decrementAndGet()
                }
                connectionsByPeer.putIfAbsent(connection.peer, connection)
            }
        }
    }

    private fun dial(to: String): TcpConnection {
        val connection = TcpConnection(to, clock)
        connections += connection
        connection.job = scope.launch {
            runConnection(connection) {
                withTimeout(heartbeat * UNRESPONSIVE_HEARTBEATS) {
                    val (host, port) = hostAndPort(to)
                    connection.attach(
                        aSocket(selector).tcp().connect(host, port) { noDelay = true }
                    )
                    handshake.initiate(connection)
                }
            }
        }
        return connection
    }

    /** Runs a connection from set-up to its end; its failure does not affect other connections. */
    private suspend fun runConnection(connection: TcpConnection, setUp: suspend () -> Unit) {
        try {
            setUp()
            connection.established = true
            coroutineScope {
                launch { connection.drainQueue() }
                while (true) {
                    onFrame(connection, connection.readFrame(TcpConnection.MAX_FRAME_BYTES))
                }
            }
        } catch (e: HandshakeException) {
            log.warn { "cluster: connection with ${connection.peer} refused: ${e.message}" }
        } catch (e: FrameException) {
            log.warn { "cluster: connection with ${connection.peer} closed: ${e.message}" }
        } catch (e: CancellationException) {
            log.debug { "cluster: connection with ${connection.peer} ended: ${e.message}" }
        } catch (e: Exception) {
            log.debug { "cluster: connection with ${connection.peer} ended: ${e.message}" }
        } finally {
            closeConnection(connection, resend = connection.established)
        }
    }

    private suspend fun onFrame(connection: TcpConnection, frame: ByteArray) {
        when {
            frame.contentEquals(TcpConnection.KEEPALIVE_REQUEST) ->
                connection.queue.offer(TcpConnection.KEEPALIVE_RESPONSE, Delivery.REPLACEABLE)
            frame.contentEquals(TcpConnection.KEEPALIVE_RESPONSE) -> Unit
            else -> receive(connection.peer, frame)
        }
    }

    private suspend fun monitorConnections() {
        val idleLimit = settings.intervals.connectionIdle.inWholeMilliseconds
        val unansweredLimit = (heartbeat * UNRESPONSIVE_HEARTBEATS).inWholeMilliseconds
        while (true) {
            delay(heartbeat / 2)
            for (connection in connections.filter { it.established }) {
                guardedBlocking("cluster") { check(connection, unansweredLimit, idleLimit) }
            }
        }
    }

    private fun check(connection: TcpConnection, unansweredLimit: Long, idleLimit: Long) {
        val unansweredMillis = connection.unansweredMillis
        when {
            unansweredMillis >= unansweredLimit -> {
                log.info {
                    "cluster: no answer from ${connection.peer} for " +
                        "$unansweredMillis ms; closing its connection"
                }
                closeConnection(connection, resend = true)
            }
            unansweredMillis >= heartbeat.inWholeMilliseconds ->
                connection.queue.offer(TcpConnection.KEEPALIVE_REQUEST, Delivery.REPLACEABLE)
            connection.idleMillis >= idleLimit -> closeConnection(connection, resend = true)
        }
    }

    private fun closeConnection(connection: TcpConnection, resend: Boolean) {
        if (!connections.remove(connection)) return
        connectionsByPeer.remove(connection.peer, connection)
        connection.close()
        // If the peer opened a second connection at the same time, it is used from now on.
        connections.firstOrNull { it.peer == connection.peer && it.established }
            ?.let { connectionsByPeer.putIfAbsent(it.peer, it) }
        if (resend && scope.isActive) resendRetained(connection)
    }

    private fun resendRetained(connection: TcpConnection) {
        connection.queue.takeRetained().forEach { send(connection.peer, it, Delivery.RETAINED) }
    }

    private fun hostAndPort(address: String): Pair<String, Int> {
        val port = address.substringAfterLast(':', "").toIntOrNull()
        require(port != null) { "peer address $address: expected host:port" }
        return address.substringBeforeLast(':') to port
    }

    private companion object {
        private val log = KotlinLogging.logger {}

        const val UNRESPONSIVE_HEARTBEATS = 3
        const val STOP_FLUSH_MILLIS = 50L

        /** Limit for accepted connections whose peer is not authenticated yet. */
        const val MAX_UNAUTHENTICATED = 256
    }
}
