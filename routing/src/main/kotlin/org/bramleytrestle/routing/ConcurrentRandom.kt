package org.bramleytrestle.routing

import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import org.bramleytrestle.model.StableHash

/**
 * SplitMix64 on one atomic counter. A seeded [Random] is not safe for several threads; this draws
 * the same numbers for the same seed and needs no lock.
 */
internal class ConcurrentRandom(seed: Random) {
    private val state = AtomicLong(seed.nextLong())

    /** A number from 0 to less than [bound]. */
    fun below(bound: Int): Int = ((next() ushr Int.SIZE_BITS) * bound ushr Int.SIZE_BITS).toInt()

    /** A number from 0 to less than 1. */
    fun fraction(): Double = (next() ushr UNUSED_BITS) * FRACTION_UNIT

    private fun next(): Long = StableHash.mix(state.addAndGet(GOLDEN_GAMMA))

    private companion object {
        /** A double holds 53 bits exactly. */
        const val UNUSED_BITS = 11
        const val FRACTION_UNIT = 1.0 / (1L shl 53)
        const val GOLDEN_GAMMA = -0x61c8864680b583ebL
    }
}
