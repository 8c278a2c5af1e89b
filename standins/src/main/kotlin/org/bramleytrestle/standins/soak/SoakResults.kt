package org.bramleytrestle.standins.soak

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** Counters and violation details of a soak run. */
internal class SoakResults(private val seed: Long) {
    private val counts = ConcurrentHashMap<String, AtomicInteger>()
    private val violations = ConcurrentLinkedQueue<String>()

    fun count(name: String) {
        counts.computeIfAbsent(name) { AtomicInteger() }.incrementAndGet()
    }

    /** Counts a violation and stores [detail] for the output. */
    fun recordViolation(name: String, detail: String) {
        count(name)
        violations += "$name: $detail"
    }

    fun violationDetails(): List<String> = violations.toList()

    fun report() = SoakReport(
        seed = seed,
        requests = valueOf("requests"),
        completed = valueOf("completed"),
        refusedNotRun = valueOf("refusedNotRun"),
        failedUnknown = valueOf("failedUnknown"),
        duplicateRuns = valueOf("duplicateRuns"),
        wrongAnswers = valueOf("wrongAnswers"),
        truncatedAnswers = valueOf("truncatedAnswers"),
        cutByDrain = valueOf("cutByDrain"),
        reverts = valueOf("reverts"),
        invariantViolations = valueOf("invariantViolations"),
        faults = withPrefix(FAULT_PREFIX),
        failures = withPrefix(FAILURE_PREFIX)
    )

    private fun withPrefix(prefix: String): Map<String, Int> =
        counts.filterKeys { it.startsWith(prefix) }
            .mapKeys { it.key.removePrefix(prefix) }
            .mapValues { it.value.get() }.toSortedMap()

    private fun valueOf(name: String) = counts[name]?.get() ?: 0

    companion object {
        const val FAULT_PREFIX = "fault:"
        const val FAILURE_PREFIX = "failure:"
    }
}
