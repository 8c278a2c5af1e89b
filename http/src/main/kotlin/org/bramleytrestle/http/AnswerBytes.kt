package org.bramleytrestle.http

import java.io.ByteArrayOutputStream
import java.io.EOFException
import java.io.IOException

/**
 * Follows the bytes of an answer from its first one to its end, and fails at the first one that a
 * sound answer cannot have. Heads, chunk sizes and trailers of one answer take up to
 * [MAX_HEAD_BYTES] together; bodies pass through and are not kept.
 */
internal class AnswerBytes {
    private enum class State {
        IDLE,
        HEAD,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,

        /** In a body that the end of the connection ends. */
        TO_CLOSE,
        DONE
    }

    private var state = State.IDLE
    private var method = ""

    /** Bytes left of the body or the chunk. */
    private var left = 0L

    /** Bytes of the line that is being read. */
    private val line = ByteArrayOutputStream()
    private val lines = ArrayList<String>()
    private var headBytes = 0

    /** Bytes of chunk sizes since the last byte of data. */
    private var sizeBytes = 0

    /** Whether bytes followed the end of the answer, which belong to no request. */
    var isFollowed = false
        private set

    /** Begins with the answer to a request that is sent now. */
    fun begin(method: String) {
        this.method = method
        state = State.HEAD
        line.reset()
        lines.clear()
        headBytes = 0
        sizeBytes = 0
    }

    /**
     * Takes the bytes that have arrived; returns how many of them belong to the answer.
     *
     * @throws UnsoundAnswerException if they are not those of a sound answer.
     */
    fun accept(bytes: ByteArray, offset: Int, count: Int): Int {
        if (state == State.IDLE || state == State.TO_CLOSE) return count
        var at = offset
        val end = offset + count
        while (at < end && state != State.TO_CLOSE) {
            when (state) {
                State.DONE -> {
                    isFollowed = true
                    return at - offset
                }
                State.BODY, State.CHUNK -> at += skip(end - at)
                else -> takeLineByte(bytes[at++])
            }
        }
        return count
    }

    /**
     * Ends with the connection.
     *
     * @param wasSent whether the request was sent as a whole; otherwise the connection was reset.
     * @throws IOException if the answer is not complete.
     */
    fun end(wasSent: Boolean) {
        val complete = when (state) {
            State.IDLE, State.DONE -> true
            // No answer: the client reports this itself.
            State.HEAD -> headBytes == 0
            State.TO_CLOSE -> wasSent
            else -> false
        }
        if (!complete) throw EOFException("connection ended within an answer: $state")
    }

    private fun skip(available: Int): Int {
        val count = minOf(left, available.toLong())
        left -= count
        if (left == 0L) state = if (state == State.BODY) State.DONE else State.CHUNK_END
        return count.toInt()
    }

    private fun takeLineByte(byte: Byte) {
        val counted = if (state == State.CHUNK_SIZE || state == State.CHUNK_END) {
            ++sizeBytes
        } else {
            ++headBytes
        }
        if (counted > MAX_HEAD_BYTES) {
            throw UnsoundAnswerException("over $MAX_HEAD_BYTES bytes of a head without its end")
        }
        if (byte != LINE_FEED) return line.write(byte.toInt())
        val text = line.toString(Charsets.ISO_8859_1)
        line.reset()
        if (!text.endsWith('\r')) throw UnsoundAnswerException("line ends without CR: $state")
        takeLine(text.dropLast(1))
    }

    private fun takeLine(text: String) {
        when (state) {
            State.HEAD -> if (text.isEmpty()) endHead() else lines += text
            State.CHUNK_SIZE -> beginChunk(text)
            State.CHUNK_END -> {
                if (text.isNotEmpty()) throw UnsoundAnswerException("chunk longer than its size")
                state = State.CHUNK_SIZE
            }
            State.TRAILER -> if (text.isEmpty()) state = State.DONE else AnswerHead.readField(text)
            else -> error("no line expected: $state")
        }
    }

    private fun endHead() {
        if (lines.isEmpty()) throw UnsoundAnswerException("empty line in place of a status line")
        val head = AnswerHead.read(lines, method)
        lines.clear()
        if (head.isInterim) return
        when (val end = head.bodyEnd) {
            is BodyEnd.Length -> {
                left = end.bytes
                state = if (left == 0L) State.DONE else State.BODY
            }
            BodyEnd.LastChunk -> state = State.CHUNK_SIZE
            BodyEnd.Close -> state = State.TO_CLOSE
        }
    }

    private fun beginChunk(text: String) {
        val (size) = CHUNK_SIZE.matchEntire(text)?.destructured
            ?: throw UnsoundAnswerException("unsound chunk size \"${text.take(MAX_QUOTED)}\"")
        left = size.toLong(HEX)
        state = if (left == 0L) State.TRAILER else State.CHUNK
        sizeBytes = 0
    }

    companion object {
        /** Twice the usual limit for the heads of requests. */
        const val MAX_HEAD_BYTES = 32 * 1024
        private const val LINE_FEED = '\n'.code.toByte()
        private const val HEX = 16
        private const val MAX_QUOTED = 80

        /** An extension may follow the size; chunks of 2^60 bytes and more are not sound. */
        private val CHUNK_SIZE =
            Regex("([0-9a-fA-F]{1,15})(?:[ \\t]*;[\\t\\x20-\\x7e\\x80-\\xff]+)?")
    }
}
