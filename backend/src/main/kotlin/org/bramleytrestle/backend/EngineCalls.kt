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
import org.bramleytrestle.model.StageHop

/** The short calls to engines that runners, probes and control share. */
internal class EngineCalls(private val pools: HttpPools, private val options: BackendOptions) {
    fun url(address: String, path: String): HttpUrl = "$address$path".toHttpUrl()

    /** Sends the cancellation without waiting; an engine that misses it drops idle state. */
    fun cancel(hop: StageHop, request: String, attempt: Int) {
        val target = requestUrl(hop.address, request, attempt).build()
        val call = pools.client(hop.address).newCall(Request.Builder().url(target).delete().build())
        call.bounded(options.inactivityBound).enqueue(object : Callback {
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
        bound: Duration,
        decode: (String) -> T
    ): Result<T, HopFailure> {
        val record = SendRecord()
        val request = Request.Builder().url(url).record(record).build()
        return read(client.newCall(request).bounded(bound), record, decode)
    }

    /** Runs [call], whose request carries [record], and decodes its answer. */
    suspend fun <T> read(
        call: Call,
        record: SendRecord,
        decode: (String) -> T
    ): Result<T, HopFailure> = try {
        call.await { response ->
            val text = response.body.string()
            if (response.isSuccessful) Ok(decode(text)) else Err(stated(response, text))
        }
    } catch (e: IOException) {
        Err(record.failureOf(e))
    } catch (e: IllegalArgumentException) {
        Err(HopFailure.MISMATCH)
    }

    private fun stated(response: Response, text: String) = statedFailure(response.code, text)
}
