package org.bramleytrestle.routing

import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.OrganisationId

/** Tokens per second that the sending node could use; [to] is the granter of the organisation. */
public data class OrganisationDemand(
    val to: InstanceId,
    val organisation: OrganisationId,
    val tokensPerSecond: Double
)
