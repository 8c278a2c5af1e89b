package org.bramleytrestle.standins.service

import kotlinx.serialization.Serializable

/**
 * Faults injected by `PUT /standin/faults`; each call replaces all of them.
 *
 * @property slowMillis delay added to each call.
 * @property loseAnswers probability that a call is executed and its connection closed without a
 * response.
 * @property refuse503 probability that a call is refused with `leaving` and not executed.
 * @property freeze sends no data, except from `/standin` paths, and keeps the connections open.
 */
@Serializable
public data class ServiceFaults(
    val slowMillis: Long = 0,
    val loseAnswers: Double = 0.0,
    val refuse503: Double = 0.0,
    val freeze: Boolean = false,
    val seed: Long = 1
)
