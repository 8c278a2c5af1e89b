package org.bramleytrestle.node.http

import java.io.OutputStream

/** Writes server-sent events; a write to a caller that went away throws an IOException. */
internal class SseWriter(private val out: OutputStream) {
    fun data(json: String, event: String? = null) {
        val name = event?.let { "event: $it\n" }.orEmpty()
        out.write("${name}data: $json\n\n".toByteArray())
        out.flush()
    }

    /** A comment that only shows whether the caller is still there. */
    fun ping() {
        out.write(": ping\n\n".toByteArray())
        out.flush()
    }
}
