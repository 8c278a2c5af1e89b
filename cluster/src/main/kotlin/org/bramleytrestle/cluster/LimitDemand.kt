package org.bramleytrestle.cluster

import kotlinx.serialization.Serializable
import org.bramleytrestle.model.OrganisationId

/** Tokens per second that a node could currently use for an organisation. */
@Serializable
public data class LimitDemand(val organisation: OrganisationId, val tokensPerSecond: Double)
