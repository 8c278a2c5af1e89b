package org.bramleytrestle.backend

import java.io.IOException
import java.io.InterruptedIOException
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException
import kotlin.time.Duration
import kotlinx.coroutines.suspendCancellableCoroutine
import okhttp3.Call
import okhttp3.Callback
import okhttp3.MediaType
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.Response

internal val JsonType: MediaType = "application/json".toMediaType()

internal const val CONFLICT: Int = 409
internal const val TOO_MANY: Int = 429
internal const val UNAVAILABLE: Int = 503

/** Runs the call and reads its answer by [read]; cancelling the coroutine cancels the call. */
internal suspend fun <T> Call.await(read: (Response) -> T): T =
    suspendCancellableCoroutine { continuation ->
        continuation.invokeOnCancellation { cancel() }
        enqueue(object : Callback {
            override fun onFailure(call: Call, e: IOException) {
                continuation.resumeWithException(e)
            }

            override fun onResponse(call: Call, response: Response) {
                val result = runCatching { response.use(read) }
                result.onSuccess(continuation::resume)
                result.onFailure(continuation::resumeWithException)
            }
        })
    }

/** Ends the call, including the reading of its answer, after [bound]. */
internal fun Call.bounded(bound: Duration): Call = apply {
    timeout().timeout(bound.inWholeMicroseconds.coerceAtLeast(1), TimeUnit.MICROSECONDS)
}

internal fun Request.Builder.record(record: SendRecord): Request.Builder =
    tag(SendRecord::class.java, record)

/** Whether a bound on the call or on a read ended it. */
internal fun IOException.isTimeout(): Boolean = this is InterruptedIOException

/** The failure that an answer other than 2xx states. */
internal fun statedFailure(status: Int, body: String): HopFailure {
    val error = try {
        WireJson.decodeFromString<ErrorMessage>(body).error
    } catch (e: IllegalArgumentException) {
        ""
    }
    return when {
        status == UNAVAILABLE && error == "leaving" -> HopFailure.LEAVING
        status == TOO_MANY && error == "full" -> HopFailure.FULL
        status == CONFLICT && error == "kvMismatch" -> HopFailure.KV_MISMATCH
        else -> HopFailure.ENGINE_ERROR
    }
}

/** The failure that the first hop of a chain states for a hop. */
internal fun wireFailure(error: String): HopFailure = when (error) {
    "leaving" -> HopFailure.LEAVING
    "full" -> HopFailure.FULL
    "unreachable" -> HopFailure.UNREACHABLE
    "broken" -> HopFailure.BROKEN
    "silent" -> HopFailure.SILENT
    "mismatch" -> HopFailure.MISMATCH
    "kvMismatch" -> HopFailure.KV_MISMATCH
    else -> HopFailure.ENGINE_ERROR
}
