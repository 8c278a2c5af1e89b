package org.bramleytrestle.model

import kotlinx.serialization.Serializable

/**
 * One generated token.
 *
 * @property index zero-based position in the complete response, so that a resumed stream continues
 * without gaps or duplicates.
 */
@Serializable
public data class TokenEvent(
    val request: RequestId,
    val attempt: Int,
    val index: Int,
    val id: Int,
    val text: String,
    val lineage: List<LineageStep>
)
