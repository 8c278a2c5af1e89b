package org.bramleytrestle.backend

import org.bramleytrestle.model.ModelName
import org.bramleytrestle.model.RequestId
import org.bramleytrestle.model.StageHop

/**
 * One attempt to generate a response on a chain of engines.
 *
 * @property emitted ids of the tokens that earlier attempts generated; this attempt continues after
 * them.
 * @property priority lower values are scheduled first.
 */
public data class ChainWork(
    val request: RequestId,
    val attempt: Int,
    val model: ModelName,
    val version: String,
    val hops: List<StageHop>,
    val prompt: String,
    val emitted: List<Int>,
    val maxTokens: Int,
    val priority: Int
)
