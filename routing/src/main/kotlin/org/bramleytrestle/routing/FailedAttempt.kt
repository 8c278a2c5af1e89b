package org.bramleytrestle.routing

import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.RepeatPolicy
import org.bramleytrestle.model.Side

/** What is known of an attempt that failed. [notRun] needs proof; a timeout is none. */
public data class FailedAttempt(
    val instance: InstanceId,
    val notRun: Boolean,
    val policy: RepeatPolicy,
    val side: Side
)
