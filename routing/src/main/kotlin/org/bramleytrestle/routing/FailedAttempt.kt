package org.bramleytrestle.routing

import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.RepeatPolicy
import org.bramleytrestle.model.Side

/**
 * A failed attempt.
 *
 * @property notRun whether it is proven that the attempt was not run; a timeout proves nothing.
 */
public data class FailedAttempt(
    val instance: InstanceId,
    val notRun: Boolean,
    val policy: RepeatPolicy,
    val side: Side
)
