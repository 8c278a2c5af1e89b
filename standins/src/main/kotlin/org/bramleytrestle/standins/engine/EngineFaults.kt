package org.bramleytrestle.standins.engine

import kotlinx.serialization.Serializable

/**
 * Faults injected by `PUT /standin/faults`; each call replaces all of them.
 *
 * @property slowFactor factor applied to the duration of each step.
 * @property dieAfterSteps kills the engine after this many more steps, closing all connections.
 * @property freezeAfterSteps applies [freeze] after this many more steps.
 * @property freeze sends no data, except from `/standin` paths, and keeps the connections open.
 * @property crossedAnswers probability that a response carries the id of another request.
 * @property truncateAfterTokens ends each stream after this many tokens, without a terminal event.
 * @property ignoreFencing accepts orders with a stale fencing number.
 * @property dropConnections probability that the connection is closed after a step was executed and
 * before its response is sent.
 * @property linkDelayMillis delay before the response to each step.
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
