package org.bramleytrestle.node.request

import com.github.michaelbull.result.Result
import org.bramleytrestle.backend.ServiceOutcome
import org.bramleytrestle.model.Failure

/**
 * Record of one call that may not be repeated, kept in the platform so that no node runs the call
 * a second time.
 */
internal interface CallRecorder {
    /** Null: this request may run the call. An answer: the call ran before with this answer. */
    suspend fun begin(request: ServiceRequest): Result<ServiceOutcome.Answer?, Failure>

    /** The call ran with [answer]. */
    suspend fun complete(request: ServiceRequest, answer: ServiceOutcome.Answer)

    /** The call was certainly not run, so that a repeat with the same key may run it. */
    suspend fun release(request: ServiceRequest)

    /** The call may have run; its record stays open, so that no repeat runs it. */
    fun abandon(request: ServiceRequest)
}
