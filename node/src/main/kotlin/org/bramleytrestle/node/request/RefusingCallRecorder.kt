package org.bramleytrestle.node.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import org.bramleytrestle.backend.ServiceOutcome
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.Failure

/** Refuses keyed calls while call records are not yet connected. */
internal object RefusingCallRecorder : CallRecorder {
    override suspend fun begin(request: ServiceRequest): Result<ServiceOutcome.Answer?, Failure> =
        Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, "call records are not connected"))

    override suspend fun complete(request: ServiceRequest, answer: ServiceOutcome.Answer) = Unit

    override suspend fun release(request: ServiceRequest) = Unit
}
