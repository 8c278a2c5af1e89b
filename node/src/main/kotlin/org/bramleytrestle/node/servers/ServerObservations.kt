package org.bramleytrestle.node.servers

import kotlin.time.ComparableTimeMark
import org.bramleytrestle.model.LoadReport

/** What this node has observed of a backend server, in addition to the platform's instance list. */
internal data class ServerObservations(
    val report: LoadReport? = null,
    val reportedAt: ComparableTimeMark? = null,
    val failedAt: ComparableTimeMark? = null,
    val leavingSince: ComparableTimeMark? = null
)
