package org.bramleytrestle.store

import com.github.michaelbull.result.Err
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import okhttp3.HttpUrl.Companion.toHttpUrl

class StoreHttpClientTest {
    /** Guards against a watcher that waits for good for a call whose answer could not be handled. */
    @Test
    fun `a call ends whatever fails while its answer is read`() = runBlocking {
        val failures = listOf(
            OutOfMemoryError("heap"),
            StackOverflowError(),
            IllegalStateException("state"),
            NullPointerException()
        )
        ServerSocket(0, failures.size, InetAddress.getLoopbackAddress()).use { listener ->
            thread(isDaemon = true) {
                repeat(failures.size) {
                    val socket = listener.accept()
                    socket.getInputStream().read(ByteArray(8_192))
                    val answer = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                    socket.getOutputStream().write(answer.toByteArray())
                }
            }
            val url = "http://127.0.0.1:${listener.localPort}/".toHttpUrl()
            StoreHttpClient().use { client ->
                for (failure in failures) {
                    val result = withTimeoutOrNull(5.seconds) {
                        client.call<Unit>(url) { throw failure }
                    }
                    assertEquals(Err(StoreError.UNAVAILABLE), result, "$failure")
                }
            }
        }
    }
}
