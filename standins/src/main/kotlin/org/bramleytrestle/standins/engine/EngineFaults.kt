package org.bramleytrestle.standins.engine

import kotlinx.serialization.Serializable

/**
 * Faults that `PUT /standin/faults` switches on; each put replaces all of them.
 *
 * @property slowFactor multiplies the time of each step.
 * @property dieAfterSteps ends the engine after that many more steps, cutting all connections.
 * @property freezeAfterSteps as [freeze], after that many more steps.
 * @property freeze no byte is sent any more while connections stay open.
 * @property crossedAnswers probability that an answer carries the id of another request.
 * @property truncateAfterTokens ends each stream after that many tokens, without terminal event.
 * @property ignoreFencing accepts orders with a stale fencing number.
 * @property dropConnections probability that the connection is cut after a step ran, before the
 * answer.
 * @property linkDelayMillis delay of each answer to a step.
 */
@Serializable
public data class EngineFaults(
    val slowFactor: Double = 1.0,
    val dieAfterSteps: Long? = null,
    val freezeAfterSteps: Long? = null,
    val freeze: Boolean = false,
    val crossedAnswers: Double = 0.0,
    val truncateAfterTokens: Int? = null,
    val ignoreFencing: Boolean = false,
    val dropConnections: Double = 0.0,
    val linkDelayMillis: Long = 0,
    val seed: Long = 1
)
