package org.bramleytrestle.standins.engine

import kotlin.random.Random

/**
 * Prompt prefixes in blocks of [BLOCK] positions with least-recently-used eviction. Events appear
 * [delayMillis] late and some never do.
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
     * Stores the prefixes whose hashes are [hashes], shortest first, and answers how many leading
     * positions were cached before.
     */
    @Synchronized
    fun use(hashes: List<Long>): Int {
        val known = hashes.takeWhile { blocks[it] != null }.size
        for (hash in hashes.drop(known)) {
            if (blocks.put(hash, Unit) == null) publish(hash, stored = true)
        }
        while (blocks.size > capacity) {
            val eldest = blocks.keys.first()
            blocks.remove(eldest)
            publish(eldest, stored = false)
        }
        return known * BLOCK
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
        const val BLOCK: Int = 16
        private const val MAX_EVENTS = 4096
        private const val INITIAL_CAPACITY = 256
        private const val LOAD_FACTOR = 0.75f

        /** Hash of each whole block of leading [values], each including the blocks before it. */
        fun hashes(values: List<Long>): List<Long> {
            var hash = 0L
            return (0..<values.size / BLOCK).map { block ->
                for (index in block * BLOCK..<(block + 1) * BLOCK) {
                    hash = ReferenceModel.mix(hash + values[index])
                }
                hash
            }
        }
    }
}
