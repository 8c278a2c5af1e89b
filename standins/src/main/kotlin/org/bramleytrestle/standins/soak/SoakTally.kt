package org.bramleytrestle.standins.soak

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** Counts of one soak run; the violations are kept with what was seen. */
internal class SoakTally(private val seed: Long) {
    private val counts = ConcurrentHashMap<String, AtomicInteger>()
    private val seen = ConcurrentLinkedQueue<String>()

    fun count(name: String) {
        counts.computeIfAbsent(name) { AtomicInteger() }.incrementAndGet()
    }

    /** Counts a violation of what must always hold and keeps [detail] for the report. */
    fun violation(name: String, detail: String) {
        count(name)
        seen += "$name: $detail"
    }

    fun details(): List<String> = seen.toList()

    fun report() = SoakReport(
        seed = seed,
        requests = of("requests"),
        completed = of("completed"),
        refusedNotRun = of("refusedNotRun"),
        failedUnknown = of("failedUnknown"),
        duplicateRuns = of("duplicateRuns"),
        wrongAnswers = of("wrongAnswers"),
        truncatedAnswers = of("truncatedAnswers"),
        cutByDrain = of("cutByDrain"),
        reverts = of("reverts"),
        invariantViolations = of("invariantViolations"),
        faults = withPrefix(FAULT),
        failures = withPrefix(FAILURE)
    )

    private fun withPrefix(prefix: String): Map<String, Int> =
        counts.filterKeys { it.startsWith(prefix) }
            .mapKeys { it.key.removePrefix(prefix) }
            .mapValues { it.value.get() }.toSortedMap()

    private fun of(name: String) = counts[name]?.get() ?: 0

    companion object {
        const val FAULT = "fault:"
        const val FAILURE = "failure:"
    }
}
