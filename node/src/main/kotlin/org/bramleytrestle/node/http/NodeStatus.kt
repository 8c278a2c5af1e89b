package org.bramleytrestle.node.http

import kotlinx.serialization.Serializable

/** Response body of `GET /admin/status`. */
@Serializable
internal data class NodeStatus(
    val instance: String,
    val revision: Long,
    val phase: String,
    val requestsInFlight: Int,
    val invariantViolations: Long,
    val members: List<MemberStatus>,
    val servers: List<ServerStatus>
)
