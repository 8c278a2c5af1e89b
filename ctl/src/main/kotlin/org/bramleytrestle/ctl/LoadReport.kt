package org.bramleytrestle.ctl

import kotlinx.serialization.Serializable

/** Result of a load run. Times are in milliseconds; failures are counted by error kind. */
@Serializable
internal data class LoadReport(
    val requests: Int,
    val completed: Int,
    val tokens: Long,
    val failed: Map<String, Int>,
    val firstTokenP50: Double,
    val firstTokenP95: Double,
    val betweenTokensP50: Double,
    val betweenTokensP95: Double
)
