package org.bramleytrestle.standins.engine

import org.bramleytrestle.model.LayerRange

/**
 * Records which positions each layer ran, apart from the engine's own state, so that a fault in the
 * checks of the engine or of its callers is counted. Not thread-safe.
 */
internal class SafetyLedger(private val layers: Int) {
    private class Entry {
        var newestAttempt = Int.MIN_VALUE
        val positions = HashMap<Int, IntArray>()
    }

    private val entries =
        object : LinkedHashMap<String, Entry>(MAX_REQUESTS, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<String, Entry>): Boolean =
                size > MAX_REQUESTS
        }

    var violations = 0L
        private set

    /** Whether a newer attempt than [attempt] started here. */
    fun superseded(request: String, attempt: Int): Boolean =
        (entries[request]?.newestAttempt ?: Int.MIN_VALUE) > attempt

    /** Whether the attempt ran any step here before, even if its state was dropped since. */
    fun ran(request: String, attempt: Int, range: LayerRange): Boolean {
        val positions = entries[request]?.positions?.get(attempt) ?: return false
        return (range.from..<range.until).any { positions[it] > 0 }
    }

    fun started(request: String, attempt: Int) {
        val entry = entries.getOrPut(request) { Entry() }
        entry.newestAttempt = maxOf(entry.newestAttempt, attempt)
    }

    fun imported(request: String, attempt: Int, range: LayerRange, next: Int) {
        started(request, attempt)
        positions(request, attempt).fill(next, range.from, range.until)
    }

    fun record(request: String, attempt: Int, range: LayerRange, first: Int, count: Int) {
        if (superseded(request, attempt)) violations++
        started(request, attempt)
        val next = positions(request, attempt)
        for (layer in range.from..<range.until) {
            if (next[layer] != first) violations++
            next[layer] = first + count
        }
    }

    private fun positions(request: String, attempt: Int): IntArray =
        entries.getOrPut(request) { Entry() }.positions.getOrPut(attempt) { IntArray(layers) }

    private companion object {
        const val MAX_REQUESTS = 8192
        const val LOAD_FACTOR = 0.75f
    }
}
