package org.bramleytrestle.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.github.oshai.kotlinlogging.KotlinLogging
import okhttp3.Request
import okhttp3.Response
import okio.BufferedSource
import org.bramleytrestle.http.boundedText

/** HTTP response of a store, not decoded yet. */
public class StoreResponse internal constructor(
    private val request: Request,
    private val response: Response
) {
    public val status: Int get() = response.code
    public val successful: Boolean get() = response.isSuccessful
    public val source: BufferedSource get() = response.body.source()

    /** The last header of this name, or null. */
    public fun header(name: String): String? = response.header(name)

    /** Whether the body has been read to its end. */
    internal var exhausted = false
        private set

    /** The body, of at most [MAX_BODY_BYTES]. */
    public fun text(): String = response.boundedText(MAX_BODY_BYTES).also { exhausted = true }

    /** Maps the statuses that all stores share to an error; 409 maps to [onConflict]. */
    public fun <T> error(onConflict: StoreError): Result<T, StoreError> {
        val error = when (status) {
            NOT_FOUND -> StoreError.NOT_FOUND
            CONFLICT -> onConflict
            GONE -> StoreError.EXPIRED
            in SERVER_ERRORS -> StoreHttpClient.errorFor(request, status == SERVICE_UNAVAILABLE)
            else -> StoreError.UNAVAILABLE
        }
        if (error == StoreError.UNAVAILABLE || error == StoreError.OUTCOME_UNKNOWN) {
            log.debug { "store: ${request.method} ${request.url}: status $status" }
        }
        return Err(error)
    }

    private companion object {
        val log = KotlinLogging.logger {}
        val SERVER_ERRORS = 500..599
        const val SERVICE_UNAVAILABLE = 503

        /** Several pages or objects of the largest size. */
        const val MAX_BODY_BYTES = 8L * 1024 * 1024
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val GONE = 410
    }
}
