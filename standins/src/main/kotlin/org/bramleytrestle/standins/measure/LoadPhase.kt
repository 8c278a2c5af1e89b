package org.bramleytrestle.standins.measure

/**
 * A phase of constant load.
 *
 * @property perSecond requests sent per second, whether or not earlier ones have ended.
 * @property deadlineMillis deadline that callers state, in milliseconds.
 */
internal data class LoadPhase(
    val seconds: Double,
    val perSecond: Double,
    val service: String,
    val tokens: Int,
    val deadlineMillis: Long
)
