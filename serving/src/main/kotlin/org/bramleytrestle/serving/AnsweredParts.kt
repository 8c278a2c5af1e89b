package org.bramleytrestle.serving

import java.util.concurrent.ConcurrentHashMap

/** The parts of prompts that were answered last, at least [GENERATION_SIZE] of them. */
internal class AnsweredParts {
    @Volatile
    private var current: MutableSet<String> = ConcurrentHashMap.newKeySet()

    @Volatile
    private var previous: Set<String> = emptySet()

    operator fun contains(part: String): Boolean = part in current || part in previous

    fun add(part: String) {
        if (!current.add(part) || current.size < GENERATION_SIZE) return
        synchronized(this) {
            if (current.size < GENERATION_SIZE) return
            previous = current
            current = ConcurrentHashMap.newKeySet()
        }
    }

    private companion object {
        /** About 1 MB; more than the shared parts that one node meets in some minutes. */
        const val GENERATION_SIZE = 8_192
    }
}
