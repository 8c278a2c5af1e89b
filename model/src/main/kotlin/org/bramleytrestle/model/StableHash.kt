package org.bramleytrestle.model

/** Hashes that are the same in every process and spread similar inputs. */
public object StableHash {
    private const val SHIFT_1 = 30
    private const val SHIFT_2 = 27
    private const val SHIFT_3 = 31
    private const val MULTIPLIER_1 = -0x40a7b892e31b1a47L
    private const val MULTIPLIER_2 = -0x6b2fb644ecceee15L
    private const val FNV_OFFSET = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L

    /** The finaliser of SplitMix64: every input bit changes about half of the output bits. */
    public fun mix(value: Long): Long {
        val first = (value xor (value ushr SHIFT_1)) * MULTIPLIER_1
        val second = (first xor (first ushr SHIFT_2)) * MULTIPLIER_2
        return second xor (second ushr SHIFT_3)
    }

    /** FNV-1a over UTF-16 units, mixed because FNV alone spreads the last units badly. */
    public fun of(text: String): Long {
        var hash = FNV_OFFSET
        for (unit in text) hash = (hash xor unit.code.toLong()) * FNV_PRIME
        return mix(hash)
    }
}
