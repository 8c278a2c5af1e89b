package org.bramleytrestle.model

/**
 * Rendezvous hashing. Every caller with the same ids gets the same ranking, and a joining or
 * leaving id moves only the keys that it wins or loses.
 */
public object Rendezvous {
    /** All [ids], best first. The ranking depends only on the texts, never on the process. */
    public fun rank(key: String, ids: Collection<String>): List<String> = top(key, ids, ids.size)

    /** The first [count] of [rank]. */
    public fun top(key: String, ids: Collection<String>, count: Int): List<String> =
        top(key, ids, count) { it }

    /** The first [count] of [candidates] ranked by [id]. */
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
