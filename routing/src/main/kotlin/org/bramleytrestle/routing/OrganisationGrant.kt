package org.bramleytrestle.routing

import kotlin.time.Duration
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.OrganisationId

/** Allows [to] to use a part of an organisation's rate limit for [valid] from arrival. */
public data class OrganisationGrant(
    val to: InstanceId,
    val organisation: OrganisationId,
    val tokensPerSecond: Double,
    val valid: Duration
)
