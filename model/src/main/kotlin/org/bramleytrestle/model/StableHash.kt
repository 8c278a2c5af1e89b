package org.bramleytrestle.model

/** Hash functions that agree across processes and distribute similar inputs evenly. */
public object StableHash {
    private const val SHIFT_1 = 30
    private const val SHIFT_2 = 27
    private const val SHIFT_3 = 31
    private const val MULTIPLIER_1 = -0x40a7b892e31b1a47L
    private const val MULTIPLIER_2 = -0x6b2fb644ecceee15L
    private const val FNV_OFFSET = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L

    /** The SplitMix64 finaliser: flipping one input bit flips about half of the output bits. */
    public fun mix(value: Long): Long {
        val first = (value xor (value ushr SHIFT_1)) * MULTIPLIER_1
        val second = (first xor (first ushr SHIFT_2)) * MULTIPLIER_2
        return second xor (second ushr SHIFT_3)
    }

    /** FNV-1a over UTF-16 code units, then [mix], because FNV-1a mixes the last ones poorly. */
    public fun of(text: String): Long {
        var hash = FNV_OFFSET
        for (char in text) hash = (hash xor char.code.toLong()) * FNV_PRIME
        return mix(hash)
    }
}
