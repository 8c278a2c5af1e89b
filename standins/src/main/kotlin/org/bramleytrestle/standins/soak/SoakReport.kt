package org.bramleytrestle.standins.soak

import kotlinx.serialization.Serializable

/**
 * Result of a soak run. The last six counts before [faults] must be 0.
 *
 * @property failedUnknown requests that failed without stating that they were not executed.
 * @property duplicateRuns bookings that were executed more than once.
 * @property cutByDrain requests interrupted or refused by the graceful shutdown of a node.
 * @property reverts settings that reverted or did not take effect within 5 s.
 * @property failures refused and failed requests by error kind; `connection` counts connections to
 * nodes that a fault had killed or frozen.
 * @property invariantViolations violations reported by nodes and engines, refused bookings that
 * ran, confirmed ones that did not, and conflicting changes that were both accepted.
 */
@Serializable
internal data class SoakReport(
    val seed: Long,
    val requests: Int,
    val completed: Int,
    val refusedNotRun: Int,
    val failedUnknown: Int,
    val duplicateRuns: Int,
    val wrongAnswers: Int,
    val truncatedAnswers: Int,
    val cutByDrain: Int,
    val reverts: Int,
    val invariantViolations: Int,
    val faults: Map<String, Int>,
    val failures: Map<String, Int> = emptyMap()
) {
    val passed: Boolean
        get() = completed > 0 && duplicateRuns == 0 && wrongAnswers == 0 &&
            truncatedAnswers == 0 && cutByDrain == 0 && reverts == 0 && invariantViolations == 0
}
