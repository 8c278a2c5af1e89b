package org.bramleytrestle.model

/**
 * Rendezvous (highest random weight) hashing. All processes rank the same ids identically, and
 * adding or removing an id only moves the keys that it gains or loses.
 */
public object Rendezvous {
    /** All [ids] by descending score for [key]; the result is the same in every process. */
    public fun rank(key: String, ids: Collection<String>): List<String> = top(key, ids, ids.size)

    /** The [count] best ids of [rank]. */
    public fun top(key: String, ids: Collection<String>, count: Int): List<String> =
        top(key, ids, count) { it }

    /** The [count] best of [candidates], ranked by their [id]. */
    public fun <T> top(
        key: String,
        candidates: Collection<T>,
        count: Int,
        id: (T) -> String
    ): List<T> {
        val keyHash = StableHash.of(key)
        return candidates
            .map { Scored(it, id(it), StableHash.mix(StableHash.of(id(it)) xor keyHash)) }
            .sortedWith(compareByDescending<Scored<T>> { it.score }.thenBy { it.id })
            .take(count)
            .map { it.candidate }
    }

    private class Scored<T>(val candidate: T, val id: String, val score: Long)
}
