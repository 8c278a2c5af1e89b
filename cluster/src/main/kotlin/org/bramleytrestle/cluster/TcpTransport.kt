package org.bramleytrestle.cluster

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.aSocket
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

/**
 * Frames over TCP. Connections are opened on demand and closed when unused, since at full scale a
 * full mesh would mean 1,100 sockets per node. A connection on which frames go out but none come
 * in for three heartbeat intervals is closed, and its kept frames go to a new one.
 */
internal class TcpTransport(
    private val settings: ClusterSettings,
    private val clock: TimeSource = TimeSource.Monotonic
) : Transport {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val selector = SelectorManager(Dispatchers.IO)
    private val handshake = Handshake(settings.peerAddress, settings.secret)
    private val current = ConcurrentHashMap<String, TcpConnection>()
    private val open: MutableSet<TcpConnection> = ConcurrentHashMap.newKeySet()
    private val unproved = AtomicInteger()
    private val heartbeat = settings.intervals.heartbeat

    @Volatile
    private var stopping = false
    private lateinit var server: ServerSocket
    private lateinit var receive: (String, ByteArray) -> Unit

    /** Connections that are open or being opened. */
    val connectionCount: Int get() = open.size

    override suspend fun start(receive: (from: String, frame: ByteArray) -> Unit) {
        this.receive = receive
        val (host, port) = hostAndPort(settings.listenAddress)
        server = aSocket(selector).tcp().bind(host, port) { reuseAddress = true }
        scope.launch { accept() }
        scope.launch { watch() }
    }

    override fun send(to: String, frame: ByteArray, delivery: Delivery) {
        if (frame.size > TcpConnection.FRAME_LIMIT) {
            log.error { "cluster: frame of ${frame.size} bytes for $to is over the limit" }
            return
        }
        val connection = current.computeIfAbsent(to) { dial(it) }
        if (!connection.queue.offer(frame, delivery)) {
            log.warn { "cluster: $to does not keep up; closing its connection" }
            drop(connection, resend = false)
        }
    }

    override fun replaceIfSilent(to: String) {
        val connection = current[to] ?: return
        if (!connection.established) return
        if (connection.silentMillis < settings.intervals.probeTimeout.inWholeMilliseconds / 2) {
            return
        }
        // Stays open for reading until the watch finds it silent for good.
        if (current.remove(to, connection)) resendKept(connection)
    }

    override suspend fun stop() {
        stopping = true
        // Last frames, such as the notice of the own departure, still go out.
        delay(STOP_FLUSH_MILLIS)
        server.close()
        open.forEach { it.close() }
        scope.cancel()
        selector.close()
    }

    private suspend fun accept() {
        while (scope.isActive) {
            val socket = try {
                server.accept()
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                if (stopping) return
                log.warn { "cluster: accept failed: ${e.message}" }
                delay(heartbeat)
                continue
            }
            if (unproved.get() >= MAX_UNPROVED) {
                socket.close()
                continue
            }
            val connection = TcpConnection(socket.remoteAddress.toString(), clock)
            open += connection
            unproved.incrementAndGet()
            connection.job = scope.launch {
                run(connection) {
                    try {
                        connection.attach(socket)
                        withTimeout(heartbeat * SILENT_INTERVALS) {
                            connection.peer = handshake.respond(connection)
                        }
                    } finally {
                        unproved.decrementAndGet()
                    }
                    current.putIfAbsent(connection.peer, connection)
                }
            }
        }
    }

    private fun dial(to: String): TcpConnection {
        val connection = TcpConnection(to, clock)
        open += connection
        connection.job = scope.launch {
            run(connection) {
                withTimeout(heartbeat * SILENT_INTERVALS) {
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

    /** Sets a connection up and serves it until it ends; no failure reaches other connections. */
    private suspend fun run(connection: TcpConnection, setUp: suspend () -> Unit) {
        try {
            setUp()
            connection.established = true
            coroutineScope {
                launch { connection.drainQueue() }
                while (true) onFrame(connection, connection.readFrame(TcpConnection.FRAME_LIMIT))
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
            drop(connection, resend = connection.established)
        }
    }

    private fun onFrame(connection: TcpConnection, frame: ByteArray) {
        when {
            frame.contentEquals(TcpConnection.CHECK) ->
                connection.queue.offer(TcpConnection.ALIVE, Delivery.REPLACEABLE)
            frame.contentEquals(TcpConnection.ALIVE) -> Unit
            else -> receive(connection.peer, frame)
        }
    }

    private suspend fun watch() {
        val idleLimit = settings.intervals.connectionIdle.inWholeMilliseconds
        val silentLimit = (heartbeat * SILENT_INTERVALS).inWholeMilliseconds
        while (true) {
            delay(heartbeat / 2)
            for (connection in open.filter { it.established }) {
                val silent = connection.silentMillis
                when {
                    silent >= silentLimit -> {
                        log.info { "cluster: ${connection.peer} silent for $silent ms; replaced" }
                        drop(connection, resend = true)
                    }
                    silent >= heartbeat.inWholeMilliseconds ->
                        connection.queue.offer(TcpConnection.CHECK, Delivery.REPLACEABLE)
                    connection.idleMillis >= idleLimit -> drop(connection, resend = true)
                }
            }
        }
    }

    private fun drop(connection: TcpConnection, resend: Boolean) {
        if (!open.remove(connection)) return
        current.remove(connection.peer, connection)
        connection.close()
        // A second connection that the peer opened at the same time serves from now on.
        open.firstOrNull { it.peer == connection.peer && it.established }
            ?.let { current.putIfAbsent(it.peer, it) }
        if (resend && scope.isActive) resendKept(connection)
    }

    private fun resendKept(connection: TcpConnection) {
        connection.queue.takeKept().forEach { send(connection.peer, it, Delivery.KEPT) }
    }

    private fun hostAndPort(address: String): Pair<String, Int> {
        val port = address.substringAfterLast(':', "").toIntOrNull()
        require(port != null) { "peer address $address: expected host:port" }
        return address.substringBeforeLast(':') to port
    }

    private companion object {
        private val log = KotlinLogging.logger {}

        const val SILENT_INTERVALS = 3
        const val STOP_FLUSH_MILLIS = 50L

        /** Bound on connections whose peer has not proved itself yet. */
        const val MAX_UNPROVED = 256
    }
}
