package org.bramleytrestle.standins.engine

import kotlin.random.Random

/**
 * LRU cache of prompt prefixes in blocks of [BLOCK_SIZE] positions. Its events are published after
 * [delayMillis], and are lost with probability [lossProbability].
 */
internal class PrefixCache(
    private val capacity: Int,
    private val delayMillis: Long,
    private val lossProbability: Double,
    seed: Long,
    private val nowMillis: () -> Long
) {
    private class Event(val visibleAtMillis: Long, val message: CacheEventMessage)

    private val random = Random(seed)
    private val blocks = LinkedHashMap<Long, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private val events = ArrayDeque<Event>()
    private var sequence = 0L

    /**
     * Stores the prefixes with the given [hashes], shortest first, and returns how many leading
     * positions were already cached.
     */
    @Synchronized
    fun lookupAndStore(hashes: List<Long>): Int {
        val hits = hashes.takeWhile { blocks[it] != null }.size
        for (hash in hashes.drop(hits)) {
            if (blocks.put(hash, Unit) == null) publish(hash, stored = true)
        }
        while (blocks.size > capacity) {
            val eldest = blocks.keys.first()
            blocks.remove(eldest)
            publish(eldest, stored = false)
        }
        return hits * BLOCK_SIZE
    }

    @Synchronized
    fun eventsAfter(after: Long): List<CacheEventMessage> {
        val now = nowMillis()
        return events.filter { it.message.sequence > after && it.visibleAtMillis <= now }
            .map { it.message }
    }

    private fun publish(hash: Long, stored: Boolean) {
        sequence++
        if (random.nextDouble() < lossProbability) return
        val message = CacheEventMessage(sequence, hash, stored, !stored)
        events.addLast(Event(nowMillis() + delayMillis, message))
        if (events.size > MAX_EVENTS) events.removeFirst()
    }

    companion object {
        const val BLOCK_SIZE: Int = 16
        private const val MAX_EVENTS = 4096
        private const val INITIAL_CAPACITY = 256
        private const val LOAD_FACTOR = 0.75f

        /** Hash of each complete block of [values], chained with the preceding blocks. */
        fun hashes(values: List<Long>): List<Long> {
            var hash = 0L
            return (0..<values.size / BLOCK_SIZE).map { block ->
                for (index in block * BLOCK_SIZE..<(block + 1) * BLOCK_SIZE) {
                    hash = ReferenceModel.mix(hash + values[index])
                }
                hash
            }
        }
    }
}
