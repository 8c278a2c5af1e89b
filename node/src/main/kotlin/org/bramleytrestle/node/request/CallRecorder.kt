package org.bramleytrestle.node.request

import com.github.michaelbull.result.Result
import org.bramleytrestle.backend.ServiceOutcome
import org.bramleytrestle.model.Failure

/**
 * Records calls that may not be repeated. The records are shared by all nodes, so that no node runs
 * a call a second time.
 */
internal interface CallRecorder {
    /** Returns the stored answer if the call has run, or null if this request may run it. */
    suspend fun begin(request: ServiceRequest): Result<ServiceOutcome.Answer?, Failure>

    /** Records that the call ran with [answer]. */
    suspend fun complete(request: ServiceRequest, answer: ServiceOutcome.Answer)

    /** Records that the call was not run, so that a retry with the same key may run it. */
    suspend fun release(request: ServiceRequest)

    /** Leaves the record open since the call may have run, so that no retry runs it. */
    fun abandon(request: ServiceRequest)
}
