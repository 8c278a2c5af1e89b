package org.bramleytrestle.routing

import org.bramleytrestle.model.StageHop

/**
 * Servers that cover all layers of a model exactly, in order.
 *
 * @property firstTokenMicros estimated time until the first token, queueing included.
 * @property tokenMicros estimated time between later tokens.
 */
public data class ChainPlan(
    val hops: List<StageHop>,
    val firstTokenMicros: Long,
    val tokenMicros: Long
)
