package org.bramleytrestle.routing

import kotlin.time.Duration
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.OrganisationId

/** Tokens per second of an organisation's limit that [to] may use for [valid] from arrival. */
public data class OrganisationGrant(
    val to: InstanceId,
    val organisation: OrganisationId,
    val tokensPerSecond: Double,
    val valid: Duration
)
