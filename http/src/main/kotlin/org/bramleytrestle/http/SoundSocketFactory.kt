package org.bramleytrestle.http

import java.io.FilterInputStream
import java.io.FilterOutputStream
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.Socket
import javax.net.SocketFactory

/**
 * Creates sockets that check the answers of peers byte by byte, see [AnswerHead] and [AnswerBytes].
 * OkHttp reads more leniently: what it cannot read as the length of a body counts as none, so that
 * the body seems to end with the connection. [SoundAnswerInterceptor] tells them of each request.
 */
public object SoundSocketFactory : SocketFactory() {
    override fun createSocket(): Socket = SoundSocket()

    override fun createSocket(host: String?, port: Int): Socket =
        throw UnsupportedOperationException("expected an unconnected socket")

    override fun createSocket(
        host: String?,
        port: Int,
        local: InetAddress?,
        localPort: Int
    ): Socket = createSocket(host, port)

    override fun createSocket(host: InetAddress?, port: Int): Socket = createSocket("$host", port)

    override fun createSocket(
        host: InetAddress?,
        port: Int,
        local: InetAddress?,
        localPort: Int
    ): Socket = createSocket(host, port)
}

/** Bytes pass unchecked until the first [begin]: a TLS connection is checked above this layer. */
internal class SoundSocket : Socket() {
    private val answer = AnswerBytes()

    @Volatile
    private var sendFailed = false

    /** Whether bytes that belong to no request have followed an answer. */
    val hasForeignBytes: Boolean get() = answer.isFollowed

    /** Expects the answer to a request with [method]. */
    fun begin(method: String): Unit = answer.begin(method)

    override fun getInputStream(): InputStream = Input(super.getInputStream())

    override fun getOutputStream(): OutputStream = Output(super.getOutputStream())

    private inner class Input(source: InputStream) : FilterInputStream(source) {
        override fun read(): Int {
            val single = ByteArray(1)
            return if (read(single, 0, 1) < 0) -1 else single[0].toInt() and BYTE_MASK
        }

        override fun read(bytes: ByteArray, offset: Int, length: Int): Int {
            val count = super.read(bytes, offset, length)
            if (count < 0) answer.end(wasSent = !sendFailed)
            if (count <= 0) return count
            // After the end of an answer the connection is of no more use.
            return answer.accept(bytes, offset, count).takeIf { it > 0 } ?: -1
        }
    }

    /**
     * A write that fails may consume the error of a reset, after which the connection seems to have
     * been closed in the ordinary way.
     */
    private inner class Output(private val sink: OutputStream) : FilterOutputStream(sink) {
        override fun write(byte: Int) = noteFailure { sink.write(byte) }

        override fun write(bytes: ByteArray, offset: Int, length: Int) =
            noteFailure { sink.write(bytes, offset, length) }

        override fun flush() = noteFailure { sink.flush() }

        private fun noteFailure(write: () -> Unit) = try {
            write()
        } catch (e: IOException) {
            sendFailed = true
            throw e
        }
    }

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
