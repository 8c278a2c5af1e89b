package org.bramleytrestle.node.http

import kotlinx.serialization.Serializable

/** One backend server in the response of `GET /admin/status`. */
@Serializable
internal data class ServerStatus(
    val instance: String,
    val pool: String?,
    val usable: Boolean,
    val running: Int?,
    val waiting: Int?
)
