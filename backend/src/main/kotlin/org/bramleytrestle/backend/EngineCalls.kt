package org.bramleytrestle.backend

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.toJavaDuration
import kotlinx.serialization.SerializationException
import okhttp3.Call
import okhttp3.Callback
import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.Response
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.model.StageHop

/** The short calls to engines that runners and control share. */
internal class EngineCalls(private val pools: HttpPools, private val options: BackendOptions) {
    fun url(address: String, path: String): HttpUrl = "$address$path".toHttpUrl()

    suspend fun report(address: String): Result<LoadReport, HopFailure> =
        get(pools.client(address), url(address, "/v1/report"), options.inactivityBound) {
            WireJson.decodeFromString<LoadReport>(it)
        }

    /** Why the server gives no report on a new connection in half the inactivity bound, or null. */
    suspend fun probe(address: String): HopFailure? =
        get(pools.freshClient(), url(address, "/v1/report"), options.inactivityBound / 2) {}
            .getError()

    /** Sends the cancellation without waiting; an engine that misses it drops idle state. */
    fun cancel(hop: StageHop, request: String, attempt: Int) {
        val target = cancelUrl(hop.address, request, attempt)
        val call = pools.client(hop.address).bounded(options.inactivityBound)
            .newCall(Request.Builder().url(target).delete().build())
        call.enqueue(object : Callback {
            override fun onFailure(call: Call, e: IOException) = Unit

            override fun onResponse(call: Call, response: Response) = response.close()
        })
    }

    fun cancelUrl(address: String, request: String, attempt: Int): HttpUrl =
        requestUrl(address, request, attempt).build()

    fun requestUrl(address: String, request: String, attempt: Int): HttpUrl.Builder =
        url(address, "/v1/requests").newBuilder()
            .addPathSegment(request)
            .addQueryParameter("attempt", attempt.toString())

    suspend fun <T> get(
        client: OkHttpClient,
        url: HttpUrl,
        bound: Duration,
        decode: (String) -> T
    ): Result<T, HopFailure> {
        val record = SendRecord()
        val request = Request.Builder().url(url).tag(SendRecord::class.java, record).build()
        return try {
            client.bounded(bound).newCall(request).await { response ->
                val text = response.body.string()
                if (response.isSuccessful) {
                    Ok(decode(text))
                } else {
                    Err(statedFailure(response.code, text))
                }
            }
        } catch (e: IOException) {
            val failure = record.failureOf(e)
            Err(if (failure == HopFailure.BROKEN && e.isTimeout()) HopFailure.SILENT else failure)
        } catch (e: SerializationException) {
            Err(HopFailure.MISMATCH)
        }
    }

    fun OkHttpClient.bounded(bound: Duration): OkHttpClient =
        newBuilder().callTimeout(bound.toJavaDuration()).build()
}

/** Whether OkHttp's bound on the whole call ended it. */
internal fun IOException.isTimeout(): Boolean = this is java.io.InterruptedIOException
