package org.bramleytrestle.cluster

import kotlinx.serialization.Serializable
import org.bramleytrestle.model.OrganisationId

/** Share of an organisation's rate limit that a node may use for [validMillis] after receipt. */
@Serializable
public data class LimitGrant(
    val organisation: OrganisationId,
    val tokensPerSecond: Double,
    val validMillis: Long
)
