package org.bramleytrestle.standins.measure

import kotlinx.serialization.Serializable

/**
 * Result of one measurement.
 *
 * @property baseline the same figure with round robin, one FIFO queue and no limits.
 * @property bound what the stand-ins' rates or the stated rule allow.
 * @property ratio [figure] to [bound].
 * @property target the ratio or figure to reach.
 * @property detail what else the run showed.
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
