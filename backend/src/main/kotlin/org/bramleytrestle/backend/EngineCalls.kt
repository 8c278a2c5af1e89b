package org.bramleytrestle.backend

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.IOException
import kotlin.time.Duration
import okhttp3.Call
import okhttp3.Callback
import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.Response
import org.bramleytrestle.http.boundedText
import org.bramleytrestle.model.StageHop

/** Non-streaming calls to engines, shared by runners, health probes and [EngineControl]. */
internal class EngineCalls(private val pools: HttpPools, private val options: BackendOptions) {
    fun url(address: String, path: String): HttpUrl = "$address$path".toHttpUrl()

    /**
     * Cancels an attempt without waiting for the response. If the call is lost, the engine evicts
     * the state of the attempt after its idle timeout.
     */
    fun cancel(hop: StageHop, request: String, attempt: Int) {
        val target = requestUrl(hop.address, request, attempt).build()
        val call = pools.client(hop.address).newCall(Request.Builder().url(target).delete().build())
        call.callTimeout(options.inactivityTimeout).enqueue(object : Callback {
            override fun onFailure(call: Call, e: IOException) = Unit

            override fun onResponse(call: Call, response: Response) = response.close()
        })
    }

    fun requestUrl(address: String, request: String, attempt: Int): HttpUrl.Builder =
        url(address, "/v1/requests").newBuilder()
            .addPathSegment(request)
            .addQueryParameter("attempt", attempt.toString())

    suspend fun <T> get(
        client: OkHttpClient,
        url: HttpUrl,
        timeout: Duration,
        decode: (String) -> T
    ): Result<T, HopFailure> {
        val record = SendRecord()
        val request = Request.Builder().url(url).recordSends(record).build()
        return read(client.newCall(request).callTimeout(timeout), record, decode)
    }

    /** Runs [call], whose sends are recorded in [record], and decodes its response. */
    suspend fun <T> read(
        call: Call,
        record: SendRecord,
        decode: (String) -> T
    ): Result<T, HopFailure> = try {
        call.await { response ->
            val text = response.boundedText(MAX_BODY_BYTES)
            if (response.isSuccessful) {
                Ok(decode(text))
            } else {
                Err(failureFromResponse(response.code, text))
            }
        }
    } catch (e: IOException) {
        Err(record.failureOf(e))
    } catch (e: IllegalArgumentException) {
        Err(HopFailure.MISMATCH)
    }

    companion object {
        /** Several times the largest list of cache events. */
        const val MAX_BODY_BYTES = 2L * 1024 * 1024
    }
}
