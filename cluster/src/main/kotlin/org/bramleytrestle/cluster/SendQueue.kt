package org.bramleytrestle.cluster

import kotlinx.coroutines.channels.Channel

/** Outgoing frames of a connection. Bounded, so that a slow peer cannot exhaust the memory. */
internal class SendQueue(
    private val maxReplaceableBytes: Int = MAX_REPLACEABLE_BYTES,
    private val maxRetainedBytes: Int = MAX_RETAINED_BYTES
) {
    private class Entry(val frame: ByteArray, val delivery: Delivery)

    private val entries = ArrayDeque<Entry>()
    private val sizes = IntArray(Delivery.entries.size)
    private val signal = Channel<Unit>(Channel.CONFLATED)

    /**
     * Queues [frame]. Returns false if retained frames exceed their limit, in which case the caller
     * must close the connection.
     */
    fun offer(frame: ByteArray, delivery: Delivery): Boolean {
        synchronized(entries) {
            entries.addLast(Entry(frame, delivery))
            sizes[delivery.ordinal] += frame.size
            while (sizes[Delivery.REPLACEABLE.ordinal] > maxReplaceableBytes) {
                dropOldestReplaceable()
            }
            if (sizes[Delivery.RETAINED.ordinal] > maxRetainedBytes) return false
        }
        signal.trySend(Unit)
        return true
    }

    /** Removes and returns the next frame, or null if the queue is empty. */
    fun poll(): ByteArray? = synchronized(entries) {
        val entry = entries.removeFirstOrNull() ?: return null
        sizes[entry.delivery.ordinal] -= entry.frame.size
        entry.frame
    }

    /** Suspends until frames may have been queued; may return although the queue is empty. */
    suspend fun await() {
        signal.receive()
    }

    /** Empties the queue and returns the frames that a replacement connection must send. */
    fun takeRetained(): List<ByteArray> = synchronized(entries) {
        val retained = entries.filter { it.delivery == Delivery.RETAINED }.map { it.frame }
        entries.clear()
        sizes.fill(0)
        retained
    }

    private fun dropOldestReplaceable() {
        val index = entries.indexOfFirst { it.delivery == Delivery.REPLACEABLE }
        sizes[Delivery.REPLACEABLE.ordinal] -= entries.removeAt(index).frame.size
    }

    private companion object {
        const val MAX_REPLACEABLE_BYTES = 256 * 1024
        const val MAX_RETAINED_BYTES = 64 * 1024 * 1024
    }
}
