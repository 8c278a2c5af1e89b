package org.bramleytrestle.node.request

import kotlin.time.ComparableTimeMark
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.model.RepeatPolicy
import org.bramleytrestle.model.RequestId
import org.bramleytrestle.model.ServiceName

/** A validated call to a plain service. */
internal class ServiceRequest(
    val id: RequestId,
    val organisation: OrganisationId,
    val service: ServiceName,
    val method: String,
    val path: String,
    val headers: Map<String, String>,
    val body: ByteArray?,
    val policy: RepeatPolicy,
    val idempotencyKey: String?,
    val deadline: ComparableTimeMark,
    val callerKey: String
)
