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

/** Runs over real loopback sockets and waits for conditions instead of fixed times. */
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

    // Guards against peers that join without the secret.
    @Test
    fun `a wrong secret is refused in both directions without effect on other connections`() =
        runBlocking {
            val good = endpoint()
            val other = endpoint()
            val intruder = endpoint(secret = "guess")
            intruder.send(good.address, "from the stranger")
            good.send(intruder.address, "to the stranger")
            other.send(good.address, "first")
            eventually { good.received.isNotEmpty() }
            eventually { intruder.transport.connectionCount == 0 }
            other.send(good.address, "second")
            eventually { good.received.size == 2 }
            assertEquals(listOf("first", "second"), good.received.map { it.second })
            assertTrue(intruder.received.isEmpty())
        }

    /** [read] returns offered frames and, for each written frame, the result of [respond]. */
    private class ScriptedChannel(private val respond: (ByteArray) -> ByteArray) :
        Handshake.FrameChannel {
        private val frames = Channel<ByteArray>(Channel.UNLIMITED)

        fun offer(frame: ByteArray) = apply { frames.trySend(frame) }

        override suspend fun read() = frames.receive()

        override suspend fun write(frame: ByteArray) {
            offer(respond(frame))
        }
    }

    // Guards against an initiator without the secret that reflects the responder's proof.
    @Test
    fun `a reflected proof is refused`() = runBlocking {
        val codec = MessageCodec.cbor
        val hello = codec.encodeToByteArray(Hello.serializer(), Hello(1, "b", ByteArray(32)))
        val reflector = ScriptedChannel { frame ->
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
    fun `a peer that claims the address of the node itself is refused`() = runBlocking {
        val node = Handshake("a", "secret".encodeToByteArray())
        val hello = Hello(1, "a", ByteArray(32))
        val frame = MessageCodec.cbor.encodeToByteArray(Hello.serializer(), hello)
        val failure = assertFailsWith<HandshakeException> {
            node.respond(ScriptedChannel { it }.offer(frame))
        }
        assertEquals("peer states this node's own address", failure.message)
    }

    // Guards against allocating the frame length that an unauthenticated peer claims.
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

    // Guards against a connection that accepts frames but delivers none.
    @Test
    fun `an unresponsive connection is closed and a new one delivers later frames`() = runBlocking {
        val target = endpoint()
        val relay = Relay(target.address.substringAfter(':').toInt())
        val source = endpoint()
        source.send(relay.address, "before", Delivery.RETAINED)
        eventually { target.received.size == 1 }
        relay.stopForwarding()
        source.send(relay.address, "lost", Delivery.RETAINED)
        eventually { relay.accepted >= 1 && source.transport.connectionCount == 0 }
        source.send(relay.address, "after", Delivery.RETAINED)
        eventually { target.received.any { it.second == "after" } }
        assertEquals(2, relay.accepted)
        relay.close()
    }

    // Guards against a full mesh, which would need up to 1,100 open sockets per node.
    @Test
    fun `an idle connection is closed and opened again on demand`() = runBlocking {
        val target = endpoint()
        val source = endpoint(idleMillis = 300)
        source.send(target.address, "first")
        eventually { target.received.size == 1 }
        eventually { source.transport.connectionCount == 0 }
        source.send(target.address, "second")
        eventually { target.received.size == 2 }
    }

    // Guards against a slow peer that delays others or exhausts the memory.
    @Test
    fun `a peer that does not read neither blocks other peers nor loses their changes`() =
        runBlocking {
            val good = endpoint()
            val source = endpoint()
            val nonReader = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
            val frame = "x".repeat(500_000)
            repeat(100) { source.send("127.0.0.1:${nonReader.localPort}", frame) }
            source.send(good.address, frame, Delivery.RETAINED)
            eventually { good.received.size == 1 }
            nonReader.close()
        }

    @Test
    fun `a full queue drops the oldest replaceable frames and no retained ones`() {
        val queue = SendQueue(maxReplaceableBytes = 6, maxRetainedBytes = 12)
        val offered = listOf("p1" to false, "c1" to true, "p2" to false, "p3" to false) +
            listOf("c2" to true, "p4" to false, "p5" to false)
        for ((text, kept) in offered) {
            val delivery = if (kept) Delivery.RETAINED else Delivery.REPLACEABLE
            assertTrue(queue.offer(text.encodeToByteArray(), delivery))
        }
        val left = generateSequence { queue.poll()?.decodeToString() }.toList()
        assertEquals(listOf("c1", "p3", "c2", "p4", "p5"), left)
        repeat(6) { assertTrue(queue.offer("cc".encodeToByteArray(), Delivery.RETAINED)) }
        assertEquals(false, queue.offer("cc".encodeToByteArray(), Delivery.RETAINED))
    }

    /** Forwards bytes to [port] until [stopForwarding] is called; later connections work again. */
    private class Relay(private val port: Int) {
        private val server = ServerSocket(0, 8, InetAddress.getLoopbackAddress())
        private val links = CopyOnWriteArrayList<Link>()
        val address = "127.0.0.1:${server.localPort}"
        val accepted: Int get() = links.size

        private class Link {
            @Volatile
            var open = true
        }

        init {
            thread(isDaemon = true) {
                runCatching {
                    while (true) {
                        val client = server.accept()
                        val upstream = Socket(InetAddress.getLoopbackAddress(), port)
                        val link = Link().also { links += it }
                        copy(client, upstream, link)
                        copy(upstream, client, link)
                    }
                }
            }
        }

        fun stopForwarding() = links.forEach { it.open = false }

        fun close() = server.close()

        private fun copy(from: Socket, to: Socket, link: Link) = thread(isDaemon = true) {
            runCatching {
                val input = DataInputStream(from.getInputStream())
                val buffer = ByteArray(4_096)
                while (true) {
                    val count = input.read(buffer)
                    if (count < 0) break
                    if (link.open) to.getOutputStream().write(buffer, 0, count)
                }
            }
        }
    }

    private companion object {
        const val LIMIT_MILLIS = 10_000L
    }
}
