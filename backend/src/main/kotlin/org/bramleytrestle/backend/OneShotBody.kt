package org.bramleytrestle.backend

import okhttp3.MediaType
import okhttp3.RequestBody
import okio.BufferedSink

/** A request body that OkHttp does not send a second time. */
public class OneShotBody(private val bytes: ByteArray, private val type: MediaType?) :
    RequestBody() {
    override fun contentType(): MediaType? = type

    override fun contentLength(): Long = bytes.size.toLong()

    override fun isOneShot(): Boolean = true

    override fun writeTo(sink: BufferedSink) {
        sink.write(bytes)
    }
}
