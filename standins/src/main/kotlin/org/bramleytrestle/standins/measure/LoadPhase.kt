package org.bramleytrestle.standins.measure

/**
 * A phase of open-loop load at a constant mean rate.
 *
 * @property perSecond requests sent per second, regardless of whether earlier ones have completed.
 * @property deadlineMillis deadline that callers send with each request.
 */
internal data class LoadPhase(
    val seconds: Double,
    val perSecond: Double,
    val service: String,
    val tokens: Int,
    val deadlineMillis: Long
)
