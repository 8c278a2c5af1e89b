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

/** A frame that breaks the format; the connection is closed. */
internal class FrameException(message: String) : Exception(message)

/** One connection with a peer, from the first attempt to open it until it is closed. */
internal class TcpConnection(@Volatile var peer: String, private val clock: TimeSource) :
    Handshake.Frames {
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
    private val lastUse = AtomicLong(0)
    private val unansweredSince = AtomicLong(NONE)

    private val now: Long get() = origin.elapsedNow().inWholeMilliseconds

    val idleMillis: Long get() = now - lastUse.get()

    /** Time since the first frame that went out without any frame coming in after it. */
    val silentMillis: Long
        get() = unansweredSince.get().let { if (it == NONE) 0 else now - it }

    fun attach(open: Socket) {
        socket = open
        input = open.openReadChannel()
        output = open.openWriteChannel(autoFlush = false)
        if (closed) open.close()
    }

    /** Reads one frame; [limit] is lower before the peer has proved itself. */
    suspend fun readFrame(limit: Int): ByteArray {
        val size = input.readInt()
        if (size !in 1..limit) throw FrameException("frame length $size: expected 1 to $limit")
        val frame = input.readByteArray(size)
        unansweredSince.set(NONE)
        if (frame.size > 1) lastUse.set(now)
        return frame
    }

    override suspend fun read(): ByteArray = readFrame(HANDSHAKE_LIMIT)

    override suspend fun write(frame: ByteArray) {
        writeFrame(frame)
        output.flush()
    }

    /** Writes what is queued, as one packet where it fits. */
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
        // An answer to a check needs no answer itself.
        if (!frame.contentEquals(ALIVE)) unansweredSince.compareAndSet(NONE, now)
        if (frame.size > 1) lastUse.set(now)
        output.writeInt(frame.size)
        output.writeFully(frame)
    }

    companion object {
        /** Most bytes of a frame. */
        const val FRAME_LIMIT = 1024 * 1024
        private const val HANDSHAKE_LIMIT = 1024
        private const val NONE = -1L

        /** Asks the peer for any frame; message tags are above these two. */
        val CHECK: ByteArray = byteArrayOf(-1)
        val ALIVE: ByteArray = byteArrayOf(-2)
    }
}
