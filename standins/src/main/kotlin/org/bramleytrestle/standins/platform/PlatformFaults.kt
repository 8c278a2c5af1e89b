package org.bramleytrestle.standins.platform

import kotlinx.serialization.Serializable

/**
 * Faults injected into the stand-in platform.
 *
 * @property down refuses every call with 503 and ends open watches.
 * @property slowMillis delay before each call is handled.
 * @property loseWriteAnswers probability that the connection of a write is closed without a
 * response after the write was processed.
 * @property staleReadMillis maximum age of the state that gets and lists return.
 * @property listLagMillis delay with which gets, lists and watches show changes of `instances`.
 * @property seed seed of the random faults; each change of the faults restarts the sequence.
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
