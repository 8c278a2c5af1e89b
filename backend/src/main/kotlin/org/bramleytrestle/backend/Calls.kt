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
internal const val TOO_MANY_REQUESTS: Int = 429
internal const val SERVICE_UNAVAILABLE: Int = 503

/** Runs the call and reads its response with [read]. Cancelling the coroutine cancels the call. */
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

/** Sets the timeout of the complete call, including reading the response. */
internal fun Call.callTimeout(timeout: Duration): Call = apply {
    timeout().timeout(timeout.inWholeMicroseconds.coerceAtLeast(1), TimeUnit.MICROSECONDS)
}

internal fun Request.Builder.recordSends(record: SendRecord): Request.Builder =
    tag(SendRecord::class.java, record)

/** Whether the call failed because of a connect, read or call timeout. */
internal fun IOException.isTimeout(): Boolean = this is InterruptedIOException

/** The failure that a response other than 2xx stands for. */
internal fun failureFromResponse(status: Int, body: String): HopFailure {
    val error = try {
        WireJson.decodeFromString<ErrorMessage>(body).error
    } catch (e: IllegalArgumentException) {
        ""
    }
    return when {
        status == SERVICE_UNAVAILABLE && error == "leaving" -> HopFailure.LEAVING
        status == TOO_MANY_REQUESTS && error == "full" -> HopFailure.FULL
        status == CONFLICT && error == "kvMismatch" -> HopFailure.KV_MISMATCH
        else -> HopFailure.ENGINE_ERROR
    }
}

/** The failure for [error] as the first hop of a chain reports it. */
internal fun failureFromWire(error: String): HopFailure = when (error) {
    "leaving" -> HopFailure.LEAVING
    "full" -> HopFailure.FULL
    "unreachable" -> HopFailure.UNREACHABLE
    "broken" -> HopFailure.BROKEN
    "silent" -> HopFailure.SILENT
    "mismatch" -> HopFailure.MISMATCH
    "kvMismatch" -> HopFailure.KV_MISMATCH
    else -> HopFailure.ENGINE_ERROR
}
