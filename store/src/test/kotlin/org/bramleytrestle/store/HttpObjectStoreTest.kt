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

    /** Responds to each request with the result of [respond]; null closes the connection. */
    private class Server(private val respond: (Socket) -> String?) : AutoCloseable {
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
                val text = respond(it) ?: return
                it.getOutputStream().apply { write(text.toByteArray()) }.flush()
            }
        }

        override fun close() = listener.close()
    }

    private fun reply(status: Int, body: String, header: String = "X-Test: 1") =
        "HTTP/1.1 $status Test\r\n$header\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private fun outcomes(respond: (Socket) -> String?): Pair<List<StoreError?>, Int> =
        Server(respond).use { server ->
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

    // Guards against a write that is reported as not executed although it may have taken effect,
    // and against automatic retries by OkHttp.
    @Test
    fun `each response and failure maps to its error and no request is retried`() {
        val unavailable = List(4) { StoreError.UNAVAILABLE }
        val unknown = listOf(StoreError.UNAVAILABLE) + List(3) { StoreError.OUTCOME_UNKNOWN }
        val exists = List(4) { StoreError.ALREADY_EXISTS }
        val conflict = List(4) { StoreError.VERSION_CONFLICT }
        val cases = mapOf<String, Pair<List<StoreError>, (Socket) -> String?>>(
            "503" to (unavailable to { reply(503, "", "Retry-After: 0") }),
            "429" to (unavailable to { reply(429, "", "Retry-After: 0") }),
            "redirect" to (unavailable to { reply(307, "", "Location: /elsewhere") }),
            "408" to (unavailable to { reply(408, "", "Retry-After: 0") }),
            "500" to (unknown to { reply(500, "") }),
            "closed" to (unknown to { null }),
            "truncated" to (unknown to { "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{" }),
            "exists" to (exists to { reply(409, """{"reason":"AlreadyExists"}""") }),
            "conflict" to (conflict to { reply(409, """{"reason":"Conflict"}""") }),
            "410" to (List(4) { StoreError.EXPIRED } to { reply(410, "") }),
            "404" to (List(4) { StoreError.NOT_FOUND } to { reply(404, "") })
        )
        for ((name, case) in cases) {
            assertEquals(case.first to 4, outcomes(case.second), name)
        }
    }

    // Guards against calls that hang because a connection has stopped responding.
    @Test
    fun `a call on an unresponsive connection times out and the connection is not reused`() {
        val requests = AtomicInteger()
        val respond = { _: Socket ->
            if (requests.incrementAndGet() == 2) Thread.sleep(5000)
            reply(200, """{"metadata":{"name":"a","resourceVersion":"7"},"spec":{}}""")
        }
        Server(respond).use { server ->
            HttpObjectStore(server.url, callTimeout = 300.milliseconds).use { store ->
                runBlocking {
                    assertTrue(store.get("changes", "a").isOk)
                    val elapsed = measureTime {
                        val error = store.update("changes", "a", value, 1).getError()
                        assertEquals(StoreError.OUTCOME_UNKNOWN, error)
                    }
                    assertTrue(elapsed < 2.seconds)
                    assertEquals(7, store.get("changes", "a").getOrThrow { error("$it") }.version)
                }
            }
        }
    }

    @Test
    fun `a write that cannot connect is reported as not executed`() = runBlocking {
        val url = Server { null }.use { it.url }
        HttpObjectStore(url).use { store ->
            assertEquals(StoreError.UNAVAILABLE, store.create("changes", "a", value).getError())
        }
    }

    // Guards against a watch that fails if nothing changes for longer than the call timeout.
    @Test
    fun `a watch without changes ends without events or an error`() {
        val respond = { socket: Socket ->
            val head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            socket.getOutputStream().apply { write(head.toByteArray()) }.flush()
            Thread.sleep(900)
            "0\r\n\r\n"
        }
        Server(respond).use { server ->
            HttpObjectStore(server.url, callTimeout = 300.milliseconds).use { store ->
                val events = runBlocking { store.watch("changes", 2, 1.seconds) }
                assertEquals(emptyList(), events.getOrThrow { error("$it") })
            }
        }
    }

    @Test
    fun `a watch returns the available events without waiting for its end`() {
        val lines = listOf("ADDED" to 3, "DELETED" to 4).joinToString("") { (type, version) ->
            """{"type":"$type","object":{"metadata":{"name":"a","resourceVersion":"$version"},""" +
                "\"spec\":{}}}\n"
        }
        val head = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"
        Server { head + lines }.use { server ->
            HttpObjectStore(server.url).use { store ->
                val (events, elapsed) = measureTimedValue {
                    runBlocking { store.watch("changes", 2, 5.seconds) }.getOrThrow { error("$it") }
                }
                assertTrue(elapsed < 2.seconds)
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
