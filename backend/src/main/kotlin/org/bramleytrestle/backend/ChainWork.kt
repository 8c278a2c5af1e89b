package org.bramleytrestle.backend

import org.bramleytrestle.model.ModelName
import org.bramleytrestle.model.RequestId
import org.bramleytrestle.model.StageHop

/**
 * One attempt at an answer.
 *
 * @property emitted ids of the tokens that earlier attempts produced; generation continues after
 * them.
 * @property priority lower numbers are served first.
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
