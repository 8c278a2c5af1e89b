package org.bramleytrestle.standins.engine

import org.bramleytrestle.model.LayerRange

/**
 * Records the positions that each layer has executed, separately from the request state, so that
 * violations are counted even if the checks of the engine or its callers fail. Not thread-safe.
 */
internal class ExecutionHistory(private val layers: Int) {
    private class Entry {
        var newestAttempt = Int.MIN_VALUE
        val nextPositions = HashMap<Int, IntArray>()
    }

    private val entries =
        object : LinkedHashMap<String, Entry>(MAX_REQUESTS, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<String, Entry>): Boolean =
                size > MAX_REQUESTS
        }

    var violations = 0L
        private set

    /** Returns whether an attempt newer than [attempt] has started on this engine. */
    fun isSuperseded(request: String, attempt: Int): Boolean =
        (entries[request]?.newestAttempt ?: Int.MIN_VALUE) > attempt

    /** Returns whether the attempt executed any step here, even if its state was evicted since. */
    fun hasExecuted(request: String, attempt: Int, range: LayerRange): Boolean {
        val nextPositions = entries[request]?.nextPositions?.get(attempt) ?: return false
        return (range.from..<range.until).any { nextPositions[it] > 0 }
    }

    fun attemptStarted(request: String, attempt: Int) {
        val entry = entries.getOrPut(request) { Entry() }
        entry.newestAttempt = maxOf(entry.newestAttempt, attempt)
    }

    fun stateImported(request: String, attempt: Int, range: LayerRange, next: Int) {
        attemptStarted(request, attempt)
        nextPositions(request, attempt).fill(next, range.from, range.until)
    }

    fun record(request: String, attempt: Int, range: LayerRange, first: Int, count: Int) {
        if (isSuperseded(request, attempt)) violations++
        attemptStarted(request, attempt)
        val next = nextPositions(request, attempt)
        for (layer in range.from..<range.until) {
            if (next[layer] != first) violations++
            next[layer] = first + count
        }
    }

    private fun nextPositions(request: String, attempt: Int): IntArray =
        entries.getOrPut(request) { Entry() }.nextPositions.getOrPut(attempt) { IntArray(layers) }

    private companion object {
        const val MAX_REQUESTS = 8192
        const val LOAD_FACTOR = 0.75f
    }
}
