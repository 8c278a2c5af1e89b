package org.bramleytrestle.routing

import kotlin.time.ComparableTimeMark
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.ModelName
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.model.RequestId
import org.bramleytrestle.model.ServiceName
import org.bramleytrestle.model.Side

/**
 * What the router needs to know of one attempt at a request.
 *
 * @property model the model of a completion; null for a call of a plain service.
 * @property sideKey stable key of the caller for the split between the sides.
 * @property emittedTokens tokens that earlier attempts produced.
 * @property excluded servers that failed earlier attempts.
 * @property mayHaveRun whether an earlier attempt may have run; a refusal then cannot say `no`.
 * @property side fixed side of a later attempt; null lets the router choose.
 */
public data class Work(
    val request: RequestId,
    val organisation: OrganisationId,
    val service: ServiceName,
    val model: ModelName? = null,
    val promptTokens: Int = 0,
    val maxTokens: Int = 1,
    val deadline: ComparableTimeMark,
    val sideKey: String,
    val attempt: Int = 1,
    val emittedTokens: Int = 0,
    val excluded: Set<InstanceId> = emptySet(),
    val side: Side? = null,
    val prefixHash: Long? = null,
    val mayHaveRun: Boolean = false
)
