package org.bramleytrestle.serving

import java.io.IOException
import java.util.concurrent.CountDownLatch

/**
 * A second attempt at a stream whose server has fallen silent. The first attempt stays open, so that
 * nothing is lost if this one is refused; only an answer that has begun here replaces it.
 */
internal class Hedge(val chain: Chain, val exchange: ServerExchange, val load: ServerLoad) {
    private enum class State { OPEN, BEGUN, ENDED }

    private var state = State.OPEN
    private val settled = CountDownLatch(1)

    /** The stream with its first event, once it has begun. */
    var stream: ServerReply.Stream? = null
        private set

    /** Whether the head of an answer has arrived. */
    @Volatile
    var hasHead = false
        private set

    val isEnded: Boolean @Synchronized get() = state == State.ENDED

    /**
     * Sends the request and waits for the first event of the answer.
     *
     * @param onReply called with the reply, and with whether the request was given up before it.
     * @param onBegun called once the stream has begun and can no longer be dropped.
     */
    fun run(onReply: (ServerReply, dropped: Boolean) -> Unit, onBegun: () -> Unit) {
        var begun = false
        try {
            val reply = withFirstEvent(exchange.await())
            onReply(reply, isEnded)
            begun = reply is ServerReply.Stream && begin(reply)
            if (begun) onBegun()
        } finally {
            if (!begun) end()
            settled.countDown()
        }
    }

    /** Gives the attempt up; returns false if its stream has begun and must be used. */
    fun drop(): Boolean {
        synchronized(this) {
            if (state == State.BEGUN) return false
            state = State.ENDED
        }
        exchange.cancel()
        return true
    }

    /** Gives the attempt up, whether or not its stream has begun. */
    fun abandon() {
        if (!drop()) close()
    }

    /** Releases the connection of a stream that has begun. */
    fun close() {
        load.ended()
        exchange.close()
    }

    /** Waits until the stream has begun, or the attempt has ended; returns whether it has begun. */
    fun await(): Boolean {
        settled.await()
        return synchronized(this) { state == State.BEGUN }
    }

    @Synchronized
    private fun begin(reply: ServerReply.Stream): Boolean {
        if (state != State.OPEN) return false
        stream = reply
        state = State.BEGUN
        return true
    }

    private fun end() {
        synchronized(this) { state = State.ENDED }
        close()
    }

    private fun withFirstEvent(reply: ServerReply): ServerReply {
        if (reply !is ServerReply.Stream) return reply
        hasHead = true
        val first = try {
            reply.next()
        } catch (e: IOException) {
            return ServerReply.Failed("$e before the first event")
        }
        var isFirst = true
        return ServerReply.Stream(reply.status, reply.headers) {
            if (isFirst) first.also { isFirst = false } else reply.next()
        }
    }
}
