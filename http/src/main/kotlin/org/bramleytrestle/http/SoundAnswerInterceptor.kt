package org.bramleytrestle.http

import okhttp3.Interceptor
import okhttp3.Response

/**
 * Fails calls whose answers are not sound; a network interceptor for clients with
 * [SoundSocketFactory]. Over TLS, and with other sockets, it checks what OkHttp has read of the head.
 */
public object SoundAnswerInterceptor : Interceptor {
    /**
     * @throws ForeignBytesException if the peer has sent bytes before the request, which is not sent
     * then.
     * @throws UnsoundAnswerException if the answer is not sound.
     */
    override fun intercept(chain: Interceptor.Chain): Response {
        val request = chain.request()
        val socket = chain.connection()?.socket()
        val pending = socket?.getInputStream()?.available() ?: 0
        if (pending > 0) throw ForeignBytesException("$pending bytes before the request")
        if (socket !is SoundSocket) return chain.proceed(request).also(::checkHead)
        if (socket.hasForeignBytes) throw ForeignBytesException("bytes behind an earlier answer")
        socket.begin(request.method)
        return chain.proceed(request)
    }

    private fun checkHead(response: Response) {
        val version = if (response.protocol == okhttp3.Protocol.HTTP_1_0) "1.0" else "1.1"
        val statusLine = "HTTP/$version ${response.code} ${response.message}"
        val fields = response.headers.map { (name, value) -> "$name:$value" }
        AnswerHead.read(listOf(statusLine) + fields, response.request.method)
    }
}
