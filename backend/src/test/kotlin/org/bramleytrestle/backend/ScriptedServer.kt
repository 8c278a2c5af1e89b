package org.bramleytrestle.backend

import java.io.BufferedInputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * Server that responds to the n-th request with the exact text that [script] returns for n, counted
 * from 1. Null closes the connection, and an empty string leaves it open without a response. Health
 * probes do not count as requests.
 */
internal class ScriptedServer(
    private val respondsToProbes: Boolean = true,
    private val script: (Int) -> String?
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()

    /** Request lines and headers of all requests, in order of arrival. */
    val requests = CopyOnWriteArrayList<List<String>>()

    val address = "http://127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true) {
            runCatching {
                while (true) {
                    val socket = listener.accept()
                    sockets += socket
                    thread(isDaemon = true) { runCatching { serve(socket) } }
                }
            }
        }
    }

    override fun close() {
        listener.close()
        sockets.forEach { it.close() }
    }

    private fun serve(socket: Socket) {
        val input = BufferedInputStream(socket.getInputStream())
        while (true) {
            val lines = generateSequence { readLine(input) }.takeWhile { it.isNotEmpty() }.toList()
            if (lines.isEmpty()) break
            val length = lines.firstOrNull { it.startsWith("Content-Length:", ignoreCase = true) }
            input.readNBytes(length?.substringAfter(':')?.trim()?.toInt() ?: 0)
            val response = if (lines[0].startsWith("GET /v1/report")) {
                if (respondsToProbes) response(200, "{}") else ""
            } else {
                requests += lines
                script(requests.size) ?: break
            }
            socket.getOutputStream().write(response.toByteArray())
        }
        socket.close()
    }

    private fun readLine(input: BufferedInputStream): String? {
        val text = StringBuilder()
        while (true) {
            val next = input.read()
            if (next < 0) return null
            if (next == '\n'.code) return text.toString().trimEnd('\r')
            text.append(next.toChar())
        }
    }

    companion object {
        private const val BACKLOG = 16

        fun response(status: Int, body: String = "", vararg headers: String): String =
            "HTTP/1.1 $status Scripted\r\nContent-Length: ${body.length}\r\n" +
                headers.joinToString("") { "$it\r\n" } + "\r\n" + body
    }
}
