package org.bramleytrestle.standins.measure

import kotlinx.serialization.Serializable

/**
 * Result of one measurement.
 *
 * @property baseline the same figure with round robin, one FIFO queue and no limits.
 * @property bound best possible figure at the rates of the stand-ins, or the limit that the
 * measurement states.
 * @property ratio [figure] divided by [bound].
 * @property target value that the ratio or figure must reach.
 * @property detail further results of the run.
 */
@Serializable
internal data class MeasureReport(
    val figure: Double,
    val unit: String,
    val baseline: Double,
    val bound: Double,
    val ratio: Double,
    val target: Double,
    val met: Boolean,
    val seed: Long,
    val detail: Map<String, Double> = emptyMap()
)
