package org.bramleytrestle.routing

import org.bramleytrestle.model.StageHop

/**
 * A chain of servers that runs every layer of a model exactly once, in order.
 *
 * @property firstTokenMicros estimated time to the first token, including queueing.
 * @property tokenMicros estimated time per token after the first.
 */
public data class ChainPlan(
    val hops: List<StageHop>,
    val firstTokenMicros: Long,
    val tokenMicros: Long
)
