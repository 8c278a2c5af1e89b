package org.bramleytrestle.cluster

import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.InstanceId

class TcpClusterTest {
    private val scope = CoroutineScope(Dispatchers.Default)

    @Test
    fun `three members discover each other over loopback and disseminate a change`() = runBlocking {
        val addresses = freeAddresses(3)
        val listeners = List(3) { RecordingListener() }
        val nodes = addresses.mapIndexed { index, address ->
            member(index, address, listeners[index], addresses.take(1))
        }
        nodes.forEach { it.start() }
        withTimeout(LIMIT_MILLIS) { nodes.forEach { node -> node.members.first { it.size == 3 } } }
        listeners[1].onChanges(listOf(change(1)))
        nodes[1].pushChanges(listOf(change(1)))
        withTimeout(LIMIT_MILLIS) { while (listeners.any { it.state.revision < 1 }) delay(10) }
        nodes[2].stop()
        withTimeout(LIMIT_MILLIS) {
            nodes[0].members.first { it[InstanceId("node-2")]?.state == MemberState.DEAD }
        }
        assertEquals("1", listeners[2].state.tree.maxTokens)
        nodes.take(2).forEach { it.stop() }
        scope.cancel()
    }

    @Test
    fun `a question reaches the member it is sent to, and each answer its own question`() =
        runBlocking {
            val addresses = freeAddresses(2)
            val listener = object : ClusterListener by RecordingListener() {
                override fun onAsk(from: InstanceId, question: ByteArray): ByteArray? {
                    val text = question.decodeToString()
                    return "$text from ${from.value}".encodeToByteArray().takeIf { text != "no" }
                }
            }
            val nodes = addresses.mapIndexed { index, address ->
                member(index, address, listener, addresses.take(1))
            }
            nodes.forEach { it.start() }
            withTimeout(LIMIT_MILLIS) {
                nodes.forEach { node -> node.members.first { it.size == 2 } }
            }
            val to = InstanceId("node-0")
            val answers = (1..50).map { number ->
                async {
                    number to nodes[1].ask(to, "q$number".encodeToByteArray())?.decodeToString()
                }
            }.awaitAll()
            for ((number, answer) in answers) assertEquals("q$number from node-1", answer)
            assertNull(nodes[1].ask(InstanceId("unknown"), byteArrayOf()))
            assertNull(withTimeoutOrNull(300) { nodes[1].ask(to, "no".encodeToByteArray()) })
            nodes.forEach { it.stop() }
            scope.cancel()
        }

    private fun member(
        index: Int,
        address: String,
        listener: ClusterListener,
        seeds: List<String>
    ): Cluster = Clusters.tcp(
        ClusterSettings(
            id = InstanceId("node-$index"),
            dataCentre = DataCentre("dc-${index % 2}"),
            listenAddress = address,
            callerAddress = "http://127.0.0.1:0",
            secret = "secret".encodeToByteArray(),
            seeds = seeds
        ),
        listener,
        scope,
        random = Random(index)
    )

    private companion object {
        const val LIMIT_MILLIS = 10_000L
    }
}

internal fun freeAddresses(count: Int): List<String> {
    val sockets = List(count) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
    return sockets.map { "127.0.0.1:${it.localPort}" }.also { sockets.forEach { it.close() } }
}
