package org.bramleytrestle.model

/**
 * Highest random weight hashing: every instance that knows the same names computes the same
 * ranking, and a change of the names moves only the places of the names that changed.
 */
public object Rendezvous {
    private const val FNV_OFFSET = -3750763034362895579L
    private const val FNV_PRIME = 1099511628211L
    private const val MIX_SHIFT = 32
    private const val MIX_FIRST = -49064778989728563L
    private const val MIX_SECOND = -4265267296055464877L
    private const val SEPARATOR = 0x1fL

    /** All [names] by falling weight for [key]. */
    public fun rank(key: String, names: Collection<String>): List<String> {
        val seed = (hash(key) xor SEPARATOR) * FNV_PRIME
        return names.map { it to hash(it, seed) }
            .sortedWith(compareByDescending<Pair<String, Long>> { it.second }.thenBy { it.first })
            .map { it.first }
    }

    /** FNV-1a with a final mix, since similar texts must not get similar hashes. */
    public fun hash(text: String, basis: Long = FNV_OFFSET): Long {
        var hash = basis
        for (char in text) hash = (hash xor char.code.toLong()) * FNV_PRIME
        hash = (hash xor (hash ushr MIX_SHIFT)) * MIX_FIRST
        hash = (hash xor (hash ushr MIX_SHIFT)) * MIX_SECOND
        return hash xor (hash ushr MIX_SHIFT)
    }
}
