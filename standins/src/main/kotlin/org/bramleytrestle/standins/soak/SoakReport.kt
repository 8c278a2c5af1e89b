package org.bramleytrestle.standins.soak

import kotlinx.serialization.Serializable

/**
 * Result of a soak run. The last six counts before [faults] must be 0.
 *
 * @property failedUnknown requests that failed without a claim that they were not run.
 * @property duplicateRuns calls that may not be repeated and ran more than once.
 * @property cutByDrain requests cut or refused by a node's planned stop.
 * @property reverts times that settings went back or were not in force within 5 s.
 * @property failures refused and failed requests by error kind; `connection` counts connections to
 * nodes that a fault had killed or frozen.
 * @property invariantViolations violations seen inside nodes and engines, refused requests that
 * ran, and racing changes that both won.
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
