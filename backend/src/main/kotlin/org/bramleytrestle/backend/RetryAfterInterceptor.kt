package org.bramleytrestle.backend

import okhttp3.Interceptor
import okhttp3.Response

/**
 * Renames `Retry-After` so that OkHttp does not see it. After 503 with `Retry-After: 0`, OkHttp
 * sends the request again even if retries are disabled; a one-shot body prevents this only for
 * methods with a body.
 */
public object RetryAfterInterceptor : Interceptor {
    private const val RETRY_AFTER = "Retry-After"
    private const val RENAMED = "X-Backend-Retry-After"

    override fun intercept(chain: Interceptor.Chain): Response {
        val response = chain.proceed(chain.request())
        val values = response.headers(RETRY_AFTER).ifEmpty { return response }
        return response.newBuilder().removeHeader(RETRY_AFTER)
            .apply { values.forEach { addHeader(RENAMED, it) } }.build()
    }

    /** Returns the name under which the server sent the header [name]. */
    public fun originalName(name: String): String =
        if (name.equals(RENAMED, ignoreCase = true)) RETRY_AFTER else name
}
