package org.bramleytrestle.model

import kotlinx.serialization.Serializable

/**
 * One generated token.
 *
 * @property index position in the whole answer from 0, so that a resumed stream can be joined.
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
