package org.bramleytrestle.serving

import java.util.concurrent.ConcurrentHashMap

/**
 * How far answers to prompts with a part, or to a request, got at most: for those that were answered
 * last, at least [GENERATION_SIZE] of them.
 */
internal class AnswerExtents {
    @Volatile
    private var current = ConcurrentHashMap<String, AnswerExtent>()

    @Volatile
    private var previous: Map<String, AnswerExtent> = emptyMap()

    /** Whether an answer got beyond the point at which another one ended its server. */
    fun isBeyond(id: String, crash: AnswerExtent): Boolean =
        (current[id] ?: previous[id])?.isBeyond(crash) == true

    fun record(id: String, extent: AnswerExtent) {
        val known = current[id]
        if (known == null) {
            current.merge(id, previous[id]?.let { furthest(it, extent) } ?: extent, ::furthest)
            renewGeneration()
        } else if (furthest(known, extent) != known) {
            current.merge(id, extent, ::furthest)
        }
    }

    private fun renewGeneration() {
        if (current.size < GENERATION_SIZE) return
        synchronized(this) {
            if (current.size < GENERATION_SIZE) return
            previous = current
            current = ConcurrentHashMap()
        }
    }

    private fun furthest(a: AnswerExtent, b: AnswerExtent) =
        if (a.events == b.events && a.ran == b.ran) {
            a
        } else {
            AnswerExtent(maxOf(a.events, b.events), maxOf(a.ran, b.ran))
        }

    private companion object {
        /** About 2 MB; more than the shared parts that one node meets in some minutes. */
        const val GENERATION_SIZE = 8_192
    }
}
