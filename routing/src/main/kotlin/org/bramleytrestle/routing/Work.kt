package org.bramleytrestle.routing

import kotlin.time.ComparableTimeMark
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.ModelName
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.model.RequestId
import org.bramleytrestle.model.ServiceName
import org.bramleytrestle.model.Side

/**
 * Input to the routing of one attempt of a request.
 *
 * @property model model of a completion; null for a call of a plain service.
 * @property sideKey stable key of the caller that determines its side; see [SideSplit].
 * @property emittedTokens number of tokens that earlier attempts emitted.
 * @property excluded servers on which earlier attempts failed.
 * @property mayHaveRun whether an earlier attempt may have run; a refusal must then not report
 *   [Executed.NO][org.bramleytrestle.model.Executed.NO].
 * @property side side to use, fixed for later attempts; null lets the router choose.
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
