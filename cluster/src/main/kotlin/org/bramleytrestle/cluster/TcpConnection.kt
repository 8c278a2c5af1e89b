package org.bramleytrestle.cluster

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlinx.coroutines.Job

/** Thrown on a frame that violates the wire format; the connection is then closed. */
internal class FrameException(message: String) : Exception(message)

/** A connection with a peer, from the attempt to open it until it is closed. */
internal class TcpConnection(@Volatile var peer: String, private val clock: TimeSource) :
    Handshake.FrameChannel {
    val queue = SendQueue()

    @Volatile
    var established = false

    @Volatile
    var closed = false
        private set

    @Volatile
    var job: Job? = null

    @Volatile
    private var socket: Socket? = null
    private lateinit var input: ByteReadChannel
    private lateinit var output: ByteWriteChannel

    private val origin: TimeMark = clock.markNow()
    private val lastUsedAt = AtomicLong(0)
    private val unansweredSince = AtomicLong(NOT_WAITING)

    private val now: Long get() = origin.elapsedNow().inWholeMilliseconds

    val idleMillis: Long get() = now - lastUsedAt.get()

    /** Time since the first frame sent after the last received one, or 0 if there is none. */
    val unansweredMillis: Long
        get() = unansweredSince.get().let { if (it == NOT_WAITING) 0 else now - it }

    fun attach(open: Socket) {
        socket = open
        input = open.openReadChannel()
        output = open.openWriteChannel(autoFlush = false)
        if (closed) open.close()
    }

    /** Reads one frame of at most [limit] bytes; the limit is lower before authentication. */
    suspend fun readFrame(limit: Int): ByteArray {
        val size = input.readInt()
        if (size !in 1..limit) throw FrameException("frame length $size: expected 1 to $limit")
        val frame = input.readByteArray(size)
        unansweredSince.set(NOT_WAITING)
        if (frame.size > 1) lastUsedAt.set(now)
        return frame
    }

    override suspend fun read(): ByteArray = readFrame(MAX_HANDSHAKE_BYTES)

    override suspend fun write(frame: ByteArray) {
        writeFrame(frame)
        output.flush()
    }

    /** Writes all queued frames before each flush, so that they share a packet where they fit. */
    suspend fun drainQueue() {
        while (true) {
            queue.await()
            while (true) writeFrame(queue.poll() ?: break)
            output.flush()
        }
    }

    fun close() {
        closed = true
        socket?.close()
        job?.cancel()
    }

    private suspend fun writeFrame(frame: ByteArray) {
        // A keep-alive response needs no response itself.
        if (!frame.contentEquals(KEEPALIVE_RESPONSE)) {
            unansweredSince.compareAndSet(NOT_WAITING, now)
        }
        if (frame.size > 1) lastUsedAt.set(now)
        output.writeInt(frame.size)
        output.writeFully(frame)
    }

    companion object {
        const val MAX_FRAME_BYTES = 1024 * 1024
        private const val MAX_HANDSHAKE_BYTES = 1024
        private const val NOT_WAITING = -1L

        /** Requests any frame from the peer. Both keep-alive values lie below all message tags. */
        val KEEPALIVE_REQUEST: ByteArray = byteArrayOf(-1)
        val KEEPALIVE_RESPONSE: ByteArray = byteArrayOf(-2)
    }
}
