package org.bramleytrestle.cluster

import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.InstanceId

/** Runs over real loopback sockets; waits end when the awaited thing happens. */
class TcpTransportTest {
    private class Endpoint(val address: String, val transport: TcpTransport) {
        val received = CopyOnWriteArrayList<Pair<String, String>>()

        suspend fun start() = transport.start { from, frame ->
            received += from to frame.decodeToString()
        }

        fun send(to: String, text: String, delivery: Delivery = Delivery.REPLACEABLE) =
            transport.send(to, text.encodeToByteArray(), delivery)
    }

    private val endpoints = ArrayList<Endpoint>()

    @AfterTest
    fun stopAll() = runBlocking { endpoints.forEach { it.transport.stop() } }

    private suspend fun endpoint(secret: String = "secret", idleMillis: Int = 30_000): Endpoint {
        val address = freeAddresses(1).single()
        val settings = ClusterSettings(
            InstanceId(address),
            DataCentre("dc-0"),
            address,
            callerAddress = "",
            secret = secret.encodeToByteArray(),
            intervals = ClusterIntervals(
                heartbeat = 200.milliseconds,
                connectionIdle = idleMillis.milliseconds
            )
        )
        return Endpoint(address, TcpTransport(settings)).also {
            endpoints += it
            it.start()
        }
    }

    private suspend fun eventually(condition: () -> Boolean) =
        withTimeout(LIMIT_MILLIS) { while (!condition()) delay(10) }

    // Guards against peers that take part without the secret.
    @Test
    fun `a wrong secret is refused in both directions and harms no other connection`() =
        runBlocking {
            val good = endpoint()
            val other = endpoint()
            val stranger = endpoint(secret = "guess")
            stranger.send(good.address, "from the stranger")
            good.send(stranger.address, "to the stranger")
            other.send(good.address, "first")
            eventually { good.received.isNotEmpty() }
            eventually { stranger.transport.connectionCount == 0 }
            other.send(good.address, "second")
            eventually { good.received.size == 2 }
            assertEquals(listOf("first", "second"), good.received.map { it.second })
            assertTrue(stranger.received.isEmpty())
        }

    /** Answers each written frame with what [answer] makes of it. */
    private class Scripted(private val answer: (ByteArray) -> ByteArray) : Handshake.Frames {
        private val frames = Channel<ByteArray>(Channel.UNLIMITED)

        fun offer(frame: ByteArray) = apply { frames.trySend(frame) }

        override suspend fun read() = frames.receive()

        override suspend fun write(frame: ByteArray) {
            offer(answer(frame))
        }
    }

    // Guards against an initiator without the secret that sends the responder's proof back.
    @Test
    fun `a reflected proof is refused`() = runBlocking {
        val codec = MessageCodec.cbor
        val hello = codec.encodeToByteArray(Hello.serializer(), Hello(1, "b", ByteArray(32)))
        val reflector = Scripted { frame ->
            val challenge = codec.decodeFromByteArray(Challenge.serializer(), frame)
            codec.encodeToByteArray(Proof.serializer(), Proof(challenge.proof))
        }
        val responder = Handshake("a", "secret".encodeToByteArray())
        val failure = assertFailsWith<HandshakeException> {
            responder.respond(reflector.offer(hello))
        }
        assertEquals("b does not know the shared secret", failure.message)
    }

    // Guards against a peer that relays a node's frames back to the node itself.
    @Test
    fun `a peer with the own address is refused`() = runBlocking {
        val node = Handshake("a", "secret".encodeToByteArray())
        val hello = Hello(1, "a", ByteArray(32))
        val frame = MessageCodec.cbor.encodeToByteArray(Hello.serializer(), hello)
        val failure = assertFailsWith<HandshakeException> {
            node.respond(Scripted { it }.offer(frame))
        }
        assertEquals("peer states this node's own address", failure.message)
    }

    // Guards against memory taken by a length field before or after the proof.
    @Test
    fun `an over-long or malformed first frame closes only its own connection`() = runBlocking {
        val good = endpoint()
        val other = endpoint()
        val host = InetAddress.getLoopbackAddress()
        for (length in listOf(2_000, Int.MAX_VALUE, -1, 0, 3)) {
            Socket(host, good.address.substringAfter(':').toInt()).use { socket ->
                val output = DataOutputStream(socket.getOutputStream())
                output.writeInt(length)
                output.write(ByteArray(3))
                output.flush()
                assertEquals(-1, socket.getInputStream().read(), "length $length")
            }
        }
        other.send(good.address, "still there")
        eventually { good.received.isNotEmpty() }
    }

    // Guards against a connection that accepts frames for ever and delivers none.
    @Test
    fun `a silent connection is closed and its unsent changes go to a new one`() = runBlocking {
        val target = endpoint()
        val relay = Relay(target.address.substringAfter(':').toInt())
        val source = endpoint()
        source.send(relay.address, "before", Delivery.KEPT)
        eventually { target.received.size == 1 }
        relay.silence()
        source.send(relay.address, "lost", Delivery.KEPT)
        eventually { relay.accepted >= 1 && source.transport.connectionCount == 0 }
        source.send(relay.address, "after", Delivery.KEPT)
        eventually { target.received.any { it.second == "after" } }
        assertEquals(2, relay.accepted)
        relay.close()
    }

    // Guards against 1,100 open sockets per node.
    @Test
    fun `an unused connection is closed and opened again on demand`() = runBlocking {
        val target = endpoint()
        val source = endpoint(idleMillis = 300)
        source.send(target.address, "first")
        eventually { target.received.size == 1 }
        eventually { source.transport.connectionCount == 0 }
        source.send(target.address, "second")
        eventually { target.received.size == 2 }
    }

    // Guards against one slow peer that delays the others or fills the memory.
    @Test
    fun `a peer that reads nothing neither blocks others nor loses them changes`() = runBlocking {
        val good = endpoint()
        val source = endpoint()
        val deaf = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
        val frame = "x".repeat(500_000)
        repeat(100) { source.send("127.0.0.1:${deaf.localPort}", frame) }
        source.send(good.address, frame, Delivery.KEPT)
        eventually { good.received.size == 1 }
        deaf.close()
    }

    @Test
    fun `a full queue drops the oldest heartbeat and no change`() {
        val queue = SendQueue(replaceableBytes = 6, keptBytes = 12)
        val offered = listOf("p1" to false, "c1" to true, "p2" to false, "p3" to false) +
            listOf("c2" to true, "p4" to false, "p5" to false)
        for ((text, kept) in offered) {
            val delivery = if (kept) Delivery.KEPT else Delivery.REPLACEABLE
            assertTrue(queue.offer(text.encodeToByteArray(), delivery))
        }
        val left = generateSequence { queue.poll()?.decodeToString() }.toList()
        assertEquals(listOf("c1", "p3", "c2", "p4", "p5"), left)
        repeat(6) { assertTrue(queue.offer("cc".encodeToByteArray(), Delivery.KEPT)) }
        assertEquals(false, queue.offer("cc".encodeToByteArray(), Delivery.KEPT))
    }

    /** Passes bytes on to [port] until the present connections are silenced. */
    private class Relay(private val port: Int) {
        private val server = ServerSocket(0, 8, InetAddress.getLoopbackAddress())
        private val gates = CopyOnWriteArrayList<Gate>()
        val address = "127.0.0.1:${server.localPort}"
        val accepted: Int get() = gates.size

        private class Gate {
            @Volatile
            var open = true
        }

        init {
            thread(isDaemon = true) {
                runCatching {
                    while (true) {
                        val near = server.accept()
                        val far = Socket(InetAddress.getLoopbackAddress(), port)
                        val gate = Gate().also { gates += it }
                        copy(near, far, gate)
                        copy(far, near, gate)
                    }
                }
            }
        }

        fun silence() = gates.forEach { it.open = false }

        fun close() = server.close()

        private fun copy(from: Socket, to: Socket, gate: Gate) = thread(isDaemon = true) {
            runCatching {
                val input = DataInputStream(from.getInputStream())
                val buffer = ByteArray(4_096)
                while (true) {
                    val count = input.read(buffer)
                    if (count < 0) break
                    if (gate.open) to.getOutputStream().write(buffer, 0, count)
                }
            }
        }
    }

    private companion object {
        const val LIMIT_MILLIS = 10_000L
    }
}
