package org.bramleytrestle.node.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.util.Base64
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bramleytrestle.backend.ServiceOutcome
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.Failure
import org.bramleytrestle.model.RequestId
import org.bramleytrestle.store.BeginOutcome
import org.bramleytrestle.store.CallClaim
import org.bramleytrestle.store.CallKey
import org.bramleytrestle.store.CallRecords

/** Stores the records of calls that may not be repeated in the platform. */
internal class PlatformCallRecorder(private val records: CallRecords) : CallRecorder {
    @Serializable
    private class StoredResponse(
        val status: Int,
        val headers: Map<String, String>,
        val bodyBase64: String
    )

    private val claims = ConcurrentHashMap<RequestId, CallClaim>()

    override suspend fun begin(request: ServiceRequest): Result<ServiceOutcome.Answer?, Failure> =
        withContext(NonCancellable) {
            val key = CallKey(
                organisation = request.organisation,
                service = request.service,
                idempotencyKey = checkNotNull(request.idempotencyKey)
            )
            when (val begin = records.begin(key, request.id.value)) {
                is BeginOutcome.Granted -> {
                    claims[request.id] = begin.claim
                    Ok(null)
                }
                is BeginOutcome.Completed -> Ok(
                    toAnswer(
                        Json.decodeFromJsonElement(StoredResponse.serializer(), begin.outcome)
                    )
                )
                BeginOutcome.InProgressOrUnknown -> Err(
                    Failure(
                        ErrorKind.IN_PROGRESS_OR_UNKNOWN,
                        "a call with this key has already started"
                    )
                )
                BeginOutcome.Unavailable -> Err(
                    Failure(ErrorKind.PLATFORM_UNAVAILABLE, "the call could not be recorded")
                )
            }
        }

    override suspend fun complete(request: ServiceRequest, answer: ServiceOutcome.Answer) {
        val claim = claims.remove(request.id) ?: return
        val body = Base64.getEncoder().encodeToString(answer.body)
        // The platform limits a value to one megabyte. A longer response is stored with an empty
        // body, which still marks the call as run.
        val stored = StoredResponse(
            status = answer.status,
            headers = answer.headers,
            bodyBase64 = body.takeIf { it.length <= MAX_BODY_BASE64_CHARS }.orEmpty()
        )
        records.complete(claim, Json.encodeToJsonElement(StoredResponse.serializer(), stored))
    }

    override suspend fun release(request: ServiceRequest) {
        records.markNotRun(claims.remove(request.id) ?: return)
    }

    override fun abandon(request: ServiceRequest) {
        claims.remove(request.id)
    }

    private fun toAnswer(stored: StoredResponse) = ServiceOutcome.Answer(
        status = stored.status,
        headers = stored.headers,
        body = Base64.getDecoder().decode(stored.bodyBase64)
    )

    private companion object {
        const val MAX_BODY_BASE64_CHARS = 900_000
    }
}
