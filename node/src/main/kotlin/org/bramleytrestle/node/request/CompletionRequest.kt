package org.bramleytrestle.node.request

import kotlin.time.ComparableTimeMark
import org.bramleytrestle.model.ModelName
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.model.RequestId
import org.bramleytrestle.model.ServiceName

/** A validated chat completion request. */
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
    /** Number of words in the prompt, an estimate of its tokens; only engines can count these. */
    val promptTokens: Int = prompt.split(' ').size
}
