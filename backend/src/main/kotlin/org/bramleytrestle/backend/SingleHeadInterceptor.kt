package org.bramleytrestle.backend

import okhttp3.Interceptor
import okhttp3.Response

/**
 * Fails a call whose response head is made of two. A server may begin to send an earlier response
 * again when the next one is due; what arrived of it then stands in front of the next status line.
 * OkHttp takes such a line for a header, or for the rest of a reason phrase or of a header's value,
 * so that the status of one response comes with headers and the body of another.
 */
public object SingleHeadInterceptor : Interceptor {
    private val STATUS_LINE = Regex("HTTP/[0-9]\\.[0-9] [0-9]{3}")

    /** A token (RFC 9110, section 5.6.2). */
    private val HEADER_NAME = Regex("[!#$%&'*+.^_`|~0-9A-Za-z-]+")

    /**
     * @throws ForeignBytesException if the server has sent bytes before the request, which is not
     * sent then, or if the head is not that of one response.
     */
    override fun intercept(chain: Interceptor.Chain): Response {
        val pending = chain.connection()?.socket()?.getInputStream()?.available() ?: 0
        if (pending > 0) throw ForeignBytesException("$pending bytes before the request")
        val response = chain.proceed(chain.request())
        val problem = problemIn(response) ?: return response
        throw ForeignBytesException("bytes in front of the response: $problem")
    }

    private fun problemIn(response: Response): String? {
        if (STATUS_LINE in response.message) return "reason phrase \"${response.message}\""
        return response.headers.firstOrNull { (name, value) ->
            !HEADER_NAME.matches(name) || STATUS_LINE in value
        }?.let { (name, value) -> "header \"$name: $value\"" }
    }

    private operator fun Regex.contains(text: String) = containsMatchIn(text)
}
