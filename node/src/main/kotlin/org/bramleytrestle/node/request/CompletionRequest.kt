package org.bramleytrestle.node.request

import kotlin.time.ComparableTimeMark
import org.bramleytrestle.model.ModelName
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.model.RequestId
import org.bramleytrestle.model.ServiceName

/** A checked chat completion. */
internal data class CompletionRequest(
    val id: RequestId,
    val organisation: OrganisationId,
    val service: ServiceName,
    val model: ModelName,
    val prompt: String,
    val maxTokens: Int,
    val deadline: ComparableTimeMark,
    val callerKey: String
) {
    /** Words of the prompt, as an estimate; engines alone know the exact tokens. */
    val promptTokens: Int = prompt.split(' ').size
}
