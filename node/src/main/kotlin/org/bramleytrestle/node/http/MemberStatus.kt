package org.bramleytrestle.node.http

import kotlinx.serialization.Serializable

/** One node in the response of `GET /admin/status`. */
@Serializable
internal data class MemberStatus(
    val instance: String,
    val dataCentre: String,
    val state: String,
    val appliedRevision: Long
)
