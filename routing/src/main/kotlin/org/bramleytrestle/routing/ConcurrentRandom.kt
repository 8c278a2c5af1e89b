package org.bramleytrestle.routing

import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/**
 * SplitMix64 on one atomic counter. A seeded [Random] is not safe for several threads; this draws
 * the same numbers for the same seed and needs no lock.
 */
internal class ConcurrentRandom(seed: Random) {
    private val state = AtomicLong(seed.nextLong())

    fun below(bound: Int): Int {
        val mixed = mix64(state.addAndGet(GOLDEN_GAMMA))
        return ((mixed ushr Int.SIZE_BITS) * bound ushr Int.SIZE_BITS).toInt()
    }

    private companion object {
        const val GOLDEN_GAMMA = -0x61c8864680b583ebL
    }
}
