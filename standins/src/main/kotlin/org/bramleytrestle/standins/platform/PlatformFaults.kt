package org.bramleytrestle.standins.platform

import kotlinx.serialization.Serializable

/**
 * Fault switches of the stand-in platform.
 *
 * @property down every call is refused with 503 and open watches end.
 * @property slowMillis delay before each call is handled.
 * @property loseWriteAnswers probability that a write takes effect but its connection is cut.
 * @property staleReadMillis gets and lists show a state up to this old.
 * @property listLagMillis the kind `instances` is always shown this late.
 * @property seed for the random choices, restarted by each change of the switches.
 */
@Serializable
public data class PlatformFaults(
    val down: Boolean = false,
    val slowMillis: Long = 0,
    val loseWriteAnswers: Double = 0.0,
    val staleReadMillis: Long = 0,
    val listLagMillis: Long = 0,
    val seed: Long = 1
)
