package org.bramleytrestle.standins.service

import kotlinx.serialization.Serializable

/**
 * Faults that `PUT /standin/faults` switches on; each put replaces all of them.
 *
 * @property slowMillis added to the time of each call.
 * @property loseAnswers probability that a call runs and its connection is cut without an answer.
 * @property refuse503 probability that a call is refused as `leaving`, so not run.
 * @property freeze no byte is sent any more while connections stay open.
 */
@Serializable
public data class ServiceFaults(
    val slowMillis: Long = 0,
    val loseAnswers: Double = 0.0,
    val refuse503: Double = 0.0,
    val freeze: Boolean = false,
    val seed: Long = 1
)
