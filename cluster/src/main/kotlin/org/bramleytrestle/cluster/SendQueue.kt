package org.bramleytrestle.cluster

import kotlinx.coroutines.channels.Channel

/** Frames that wait for one connection. Bounded, so that a slow peer cannot fill the memory. */
internal class SendQueue(
    private val replaceableBytes: Int = REPLACEABLE_BYTES,
    private val keptBytes: Int = KEPT_BYTES
) {
    private class Entry(val frame: ByteArray, val delivery: Delivery)

    private val entries = ArrayDeque<Entry>()
    private val sizes = IntArray(Delivery.entries.size)
    private val signal = Channel<Unit>(Channel.CONFLATED)

    /** Queues [frame]; false if kept frames exceed their bound and the peer must be given up. */
    fun offer(frame: ByteArray, delivery: Delivery): Boolean {
        synchronized(entries) {
            entries.addLast(Entry(frame, delivery))
            sizes[delivery.ordinal] += frame.size
            while (sizes[Delivery.REPLACEABLE.ordinal] > replaceableBytes) dropOldestReplaceable()
            if (sizes[Delivery.KEPT.ordinal] > keptBytes) return false
        }
        signal.trySend(Unit)
        return true
    }

    /** The next frame, or null if none waits. */
    fun poll(): ByteArray? = synchronized(entries) {
        val entry = entries.removeFirstOrNull() ?: return null
        sizes[entry.delivery.ordinal] -= entry.frame.size
        entry.frame
    }

    /** Suspends until a frame may wait. */
    suspend fun await() {
        signal.receive()
    }

    /** Takes out the frames that a new connection must send in place of this one. */
    fun takeKept(): List<ByteArray> = synchronized(entries) {
        val kept = entries.filter { it.delivery == Delivery.KEPT }.map { it.frame }
        entries.clear()
        sizes.fill(0)
        kept
    }

    private fun dropOldestReplaceable() {
        val index = entries.indexOfFirst { it.delivery == Delivery.REPLACEABLE }
        sizes[Delivery.REPLACEABLE.ordinal] -= entries.removeAt(index).frame.size
    }

    private companion object {
        const val REPLACEABLE_BYTES = 256 * 1024
        const val KEPT_BYTES = 64 * 1024 * 1024
    }
}
