package org.bramleytrestle.routing

import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.ModelName
import org.bramleytrestle.model.ServiceName
import org.bramleytrestle.model.Side

/**
 * Asks for servers for one attempt.
 *
 * @property model the model to run; null asks for one server of the plain service [service].
 * @property hasRoom whether a server's concurrency limit admits one more attempt of this class.
 * @property inFlight attempts that this node has on a server now.
 */
public data class ChainQuery(
    val model: ModelName?,
    val service: ServiceName,
    val side: Side,
    val promptTokens: Int,
    val expectedTokens: Int,
    val prefixHash: Long? = null,
    val excluded: Set<InstanceId> = emptySet(),
    val hasRoom: (InstanceId) -> Boolean = { true },
    val inFlight: (InstanceId) -> Int = { 0 }
)
