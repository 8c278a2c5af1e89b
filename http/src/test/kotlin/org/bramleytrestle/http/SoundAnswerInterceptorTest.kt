package org.bramleytrestle.http

import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import okhttp3.OkHttpClient
import okhttp3.Request

class SoundAnswerInterceptorTest {
    private val listener = ServerSocket(0)
    private val parsed =
        OkHttpClient.Builder().addNetworkInterceptor(SoundAnswerInterceptor).build()
    private val checked = parsed.newBuilder().socketFactory(SoundSocketFactory).build()

    @AfterTest
    fun close() {
        listener.close()
    }

    private fun receive(client: OkHttpClient, head: String): String {
        thread(isDaemon = true) {
            listener.accept().use {
                it.getInputStream().read(ByteArray(8_192))
                it.getOutputStream().write("$head\r\nContent-Length: 0\r\n\r\n".toByteArray())
            }
        }
        val request = Request.Builder().url("http://127.0.0.1:${listener.localPort}/").build()
        return try {
            client.newCall(request).execute().use { "${it.code}" }
        } catch (_: UnsoundAnswerException) {
            "failed"
        }
    }

    /** Guards against heads of two responses, and against sound heads that are taken for those. */
    @Test
    fun `a head of two responses fails the call, and an unusual head of one does not`() {
        val failure = "HTTP/1.1 500 Internal Server Error"
        val cases = listOf(
            "HTTP/1.1 200 OK" to "200",
            "HTTP/1.1 200" to "200",
            "HTTP/1.1 200 HTTP" to "200",
            "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy" to "200",
            "HTTP/1.1 200 OK\r\nx_y.z~1: :" to "200",
            "HTTP/1.1 200 OK\r\nX: \u00e9" to "200",
            "HTTP/1.1 200 OK$failure" to "failed",
            "HTTP/1.1 200 OK\r$failure" to "failed",
            "HTTP/1.1 200 OK\r\n$failure" to "failed",
            "HTTP/1.1 200 OK\r\nConte$failure" to "failed",
            "HTTP/1.1 200 OK\r\nX:$failure" to "failed",
            "HTTP/1.1 200 OK\r\nX: a: bHTTP/1.0 404" to "failed",
            "HTTP/1.1 200 OK\r\n: value" to "failed",
            "HTTP/1.1 200 OK\r\nX Y: value" to "failed"
        )
        for ((head, expected) in cases) {
            assertEquals(expected, receive(checked, head), head)
            assertEquals(expected, receive(parsed, head), "$head, as OkHttp has read it")
        }
    }
}
