package org.bramleytrestle.routing

import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.ModelName
import org.bramleytrestle.model.ServiceName
import org.bramleytrestle.model.Side

/**
 * Parameters of the choice of a chain for one attempt.
 *
 * @property model model to run; null selects one server of the plain service [service].
 * @property hasCapacity whether a server's concurrency limit admits one more attempt of this class.
 * @property inFlight number of attempts that this node is running on a server.
 */
public data class ChainQuery(
    val model: ModelName?,
    val service: ServiceName,
    val side: Side,
    val promptTokens: Int,
    val expectedTokens: Int,
    val prefixHash: Long? = null,
    val excluded: Set<InstanceId> = emptySet(),
    val hasCapacity: (InstanceId) -> Boolean = { true },
    val inFlight: (InstanceId) -> Int = { 0 }
)
