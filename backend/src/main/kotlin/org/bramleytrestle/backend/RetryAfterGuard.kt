package org.bramleytrestle.backend

import okhttp3.Interceptor
import okhttp3.Response

/**
 * Hides `Retry-After` from OkHttp, which sends a request again after 503 with `Retry-After: 0` even
 * if retries are off; a one-shot body prevents that only for methods that have a body.
 */
public object RetryAfterGuard : Interceptor {
    private const val RETRY_AFTER = "Retry-After"
    private const val HIDDEN = "X-Backend-Retry-After"

    override fun intercept(chain: Interceptor.Chain): Response {
        val response = chain.proceed(chain.request())
        val value = response.header(RETRY_AFTER) ?: return response
        return response.newBuilder().removeHeader(RETRY_AFTER).header(HIDDEN, value).build()
    }

    /** The name that the server gave to the header [name]. */
    public fun originalName(name: String): String =
        if (name.equals(HIDDEN, ignoreCase = true)) RETRY_AFTER else name
}
