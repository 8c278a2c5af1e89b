package org.bramleytrestle.routing

import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import org.bramleytrestle.model.StableHash

/**
 * Lock-free SplitMix64 generator for concurrent use; a seeded [Random] is not thread-safe. The same
 * seed gives the same sequence of numbers.
 */
internal class ConcurrentRandom(seed: Random) {
    private val state = AtomicLong(seed.nextLong())

    /** A uniform integer in `[0, bound)`. */
    fun nextInt(bound: Int): Int =
        ((nextLong() ushr Int.SIZE_BITS) * bound ushr Int.SIZE_BITS).toInt()

    /** A uniform number in `[0, 1)`. */
    fun nextDouble(): Double = (nextLong() ushr UNUSED_BITS) * DOUBLE_UNIT

    private fun nextLong(): Long = StableHash.mix(state.addAndGet(GOLDEN_GAMMA))

    private companion object {
        /** A double represents integers of up to 53 bits exactly. */
        const val UNUSED_BITS = 11
        const val DOUBLE_UNIT = 1.0 / (1L shl 53)
        const val GOLDEN_GAMMA = -0x61c8864680b583ebL
    }
}
