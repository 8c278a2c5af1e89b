package org.bramleytrestle.store

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime
import kotlin.time.measureTimedValue
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonObject

class HttpObjectStoreTest {
    private val value = JsonObject(emptyMap())

    /** Answers each request of each connection with [answer]; null closes the connection. */
    private class Server(private val answer: (Socket) -> String?) : AutoCloseable {
        private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
        val requests = AtomicInteger()
        val url = "http://127.0.0.1:${listener.localPort}"

        init {
            thread(isDaemon = true) {
                runCatching {
                    while (true) listener.accept().let { thread(isDaemon = true) { serve(it) } }
                }
            }
        }

        private fun serve(socket: Socket) = socket.use {
            val reader = it.getInputStream().bufferedReader()
            while (true) {
                val head = generateSequence { reader.readLine() }.takeWhile { it.isNotEmpty() }
                val lines = head.toList().ifEmpty { return }
                val length = lines.firstOrNull { it.startsWith("Content-Length: ") }
                    ?.substringAfter(": ")?.toInt() ?: 0
                repeat(length) { reader.read() }
                requests.incrementAndGet()
                val text = answer(it) ?: return
                it.getOutputStream().apply { write(text.toByteArray()) }.flush()
            }
        }

        override fun close() = listener.close()
    }

    private fun reply(status: Int, body: String, header: String = "X-Test: 1") =
        "HTTP/1.1 $status Test\r\n$header\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private fun outcomes(answer: (Socket) -> String?): Pair<List<StoreError?>, Int> =
        Server(answer).use { server ->
            HttpObjectStore(server.url, callTimeout = 300.milliseconds).use { store ->
                runBlocking {
                    listOf(
                        store.get("changes", "a").getError(),
                        store.create("changes", "a", value).getError(),
                        store.update("changes", "a", value, 1).getError(),
                        store.delete("changes", "a", 1).getError()
                    ) to server.requests.get()
                }
            }
        }

    // Guards against a write that is reported as not run although it may have taken effect, and
    // against OkHttp sending a request a second time.
    @Test
    fun `each answer and failure has its error and no request is repeated`() {
        val unavailable = List(4) { StoreError.UNAVAILABLE }
        val lost = listOf(StoreError.UNAVAILABLE) + List(3) { StoreError.OUTCOME_UNKNOWN }
        val exists = List(4) { StoreError.ALREADY_EXISTS }
        val conflict = List(4) { StoreError.VERSION_CONFLICT }
        val cases = mapOf<String, Pair<List<StoreError>, (Socket) -> String?>>(
            "503" to (unavailable to { reply(503, "", "Retry-After: 0") }),
            "429" to (unavailable to { reply(429, "", "Retry-After: 0") }),
            "redirect" to (unavailable to { reply(307, "", "Location: /elsewhere") }),
            "408" to (unavailable to { reply(408, "", "Retry-After: 0") }),
            "500" to (lost to { reply(500, "") }),
            "closed" to (lost to { null }),
            "cut off" to (lost to { "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{" }),
            "exists" to (exists to { reply(409, """{"reason":"AlreadyExists"}""") }),
            "conflict" to (conflict to { reply(409, """{"reason":"Conflict"}""") }),
            "410" to (List(4) { StoreError.EXPIRED } to { reply(410, "") }),
            "404" to (List(4) { StoreError.NOT_FOUND } to { reply(404, "") })
        )
        for ((name, case) in cases) {
            assertEquals(case.first to 4, outcomes(case.second), name)
        }
    }

    // Guards against a node that hangs on a connection that went silent.
    @Test
    fun `a silent connection ends a call in time and is not used again`() {
        val silent = AtomicInteger()
        val answer = { _: Socket ->
            if (silent.incrementAndGet() == 2) Thread.sleep(5000)
            reply(200, """{"metadata":{"name":"a","resourceVersion":"7"},"spec":{}}""")
        }
        Server(answer).use { server ->
            HttpObjectStore(server.url, callTimeout = 300.milliseconds).use { store ->
                runBlocking {
                    assertTrue(store.get("changes", "a").isOk)
                    val taken = measureTime {
                        val lost = store.update("changes", "a", value, 1).getError()
                        assertEquals(StoreError.OUTCOME_UNKNOWN, lost)
                    }
                    assertTrue(taken < 2.seconds)
                    assertEquals(7, store.get("changes", "a").getOrThrow { error("$it") }.version)
                }
            }
        }
    }

    @Test
    fun `a write that cannot connect is reported as not run`() = runBlocking {
        val url = Server { null }.use { it.url }
        HttpObjectStore(url).use { store ->
            assertEquals(StoreError.UNAVAILABLE, store.create("changes", "a", value).getError())
        }
    }

    // Guards against a watch that fails whenever nothing changes for longer than a call may take.
    @Test
    fun `a quiet watch ends without events and without an error`() {
        val answer = { socket: Socket ->
            val head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            socket.getOutputStream().apply { write(head.toByteArray()) }.flush()
            Thread.sleep(900)
            "0\r\n\r\n"
        }
        Server(answer).use { server ->
            HttpObjectStore(server.url, callTimeout = 300.milliseconds).use { store ->
                val events = runBlocking { store.watch("changes", 2, 1.seconds) }
                assertEquals(emptyList(), events.getOrThrow { error("$it") })
            }
        }
    }

    @Test
    fun `a watch returns the events that arrived without waiting for its end`() {
        val lines = listOf("ADDED" to 3, "DELETED" to 4).joinToString("") { (type, version) ->
            """{"type":"$type","object":{"metadata":{"name":"a","resourceVersion":"$version"},""" +
                "\"spec\":{}}}\n"
        }
        val head = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"
        Server { head + lines }.use { server ->
            HttpObjectStore(server.url).use { store ->
                val (events, taken) = measureTimedValue {
                    runBlocking { store.watch("changes", 2, 5.seconds) }.getOrThrow { error("$it") }
                }
                assertTrue(taken < 2.seconds)
                assertEquals(
                    listOf(3L to false, 4L to true),
                    events.map {
                        it.item.version to
                            it.deleted
                    }
                )
            }
        }
    }
}
