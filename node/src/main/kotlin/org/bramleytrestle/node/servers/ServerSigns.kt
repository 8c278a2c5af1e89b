package org.bramleytrestle.node.servers

import kotlin.time.ComparableTimeMark
import org.bramleytrestle.model.LoadReport

/** What this node knows of one backend server beside the platform's list. */
internal data class ServerSigns(
    val report: LoadReport? = null,
    val reportedAt: ComparableTimeMark? = null,
    val failedAt: ComparableTimeMark? = null,
    val leavingSince: ComparableTimeMark? = null
)
