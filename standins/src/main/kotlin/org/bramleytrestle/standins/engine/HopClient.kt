package org.bramleytrestle.standins.engine

import java.io.IOException
import java.net.ConnectException
import java.net.SocketTimeoutException
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.serialization.SerializationException
import okhttp3.Call
import okhttp3.Callback
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.bramleytrestle.model.StageHop
import org.bramleytrestle.standins.WireJson

/** Client with which the first hop of a chain calls the engines of the other hops. */
internal class HopClient(timeoutMillis: Long) {
    /** Response of a hop, or the error if there is none. */
    class Outcome(val response: StepResponse?, val error: String = "")

    private val client = sharedClient.newBuilder()
        .readTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
        .connectTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
        .build()

    suspend fun step(hop: StageHop, body: StepRequest): Outcome {
        val request = Request.Builder().url("${hop.address}/v1/stage/step")
            .post(WireJson.encodeToString(body).toRequestBody(json)).build()
        return suspendCancellableCoroutine { continuation ->
            val call = client.newCall(request)
            continuation.invokeOnCancellation { call.cancel() }
            call.enqueue(object : Callback {
                override fun onFailure(call: Call, e: IOException) {
                    continuation.resume(Outcome(null, errorOf(e)))
                }

                override fun onResponse(call: Call, response: Response) {
                    continuation.resume(outcomeOf(response))
                }
            })
        }
    }

    /** Cancels without waiting for the response; a hop that misses the call evicts idle state. */
    fun cancel(hop: StageHop, request: String, attempt: Int) {
        val url = "${hop.address}/v1/requests/$request?attempt=$attempt"
        client.newCall(Request.Builder().url(url).delete().build()).enqueue(object : Callback {
            override fun onFailure(call: Call, e: IOException) = Unit

            override fun onResponse(call: Call, response: Response) = response.close()
        })
    }

    private fun outcomeOf(response: Response): Outcome = try {
        response.use {
            val text = it.body.string()
            when {
                it.isSuccessful -> Outcome(WireJson.decodeFromString<StepResponse>(text))
                else -> Outcome(null, WireJson.decodeFromString<ErrorMessage>(text).error)
            }
        }
    } catch (e: IOException) {
        Outcome(null, errorOf(e))
    } catch (e: SerializationException) {
        Outcome(null, "engineError")
    }

    private fun errorOf(e: IOException): String = when (e) {
        is ConnectException -> "unreachable"
        is SocketTimeoutException -> "silent"
        else -> "broken"
    }

    private companion object {
        const val KEEP_ALIVE_SECONDS = 30L
        const val IDLE_CONNECTIONS = 512
        val json = "application/json".toMediaType()

        /** Shared by all engines of the process to limit the number of threads. */
        val sharedClient: OkHttpClient by lazy {
            val executor = ThreadPoolExecutor(
                0,
                Int.MAX_VALUE,
                KEEP_ALIVE_SECONDS,
                TimeUnit.SECONDS,
                SynchronousQueue()
            ) { task -> Thread(task, "standin-hops").apply { isDaemon = true } }
            val dispatcher = Dispatcher(executor).apply {
                maxRequests = Int.MAX_VALUE
                maxRequestsPerHost = Int.MAX_VALUE
            }
            OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .connectionPool(
                    ConnectionPool(IDLE_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
                )
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .build()
        }
    }
}
