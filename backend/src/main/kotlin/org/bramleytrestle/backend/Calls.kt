package org.bramleytrestle.backend

import java.io.IOException
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.serialization.SerializationException
import okhttp3.Call
import okhttp3.Callback
import okhttp3.MediaType
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.RequestBody
import okhttp3.Response
import okio.BufferedSink

internal val JsonType: MediaType = "application/json".toMediaType()

/** A body that OkHttp must not write twice. */
internal class OneShotBody(private val bytes: ByteArray, private val type: MediaType?) :
    RequestBody() {
    override fun contentType(): MediaType? = type

    override fun contentLength(): Long = bytes.size.toLong()

    override fun isOneShot(): Boolean = true

    override fun writeTo(sink: BufferedSink) {
        sink.write(bytes)
    }
}

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

/** The failure that an answer other than 2xx states. */
internal fun statedFailure(status: Int, body: String): HopFailure {
    val error = try {
        WireJson.decodeFromString<ErrorMessage>(body).error
    } catch (e: SerializationException) {
        ""
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

internal const val CONFLICT: Int = 409
internal const val TOO_MANY: Int = 429
internal const val UNAVAILABLE: Int = 503
