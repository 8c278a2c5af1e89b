package org.bramleytrestle.node.http

import java.io.OutputStream

/** Writes server-sent events. A write throws an IOException if the caller has disconnected. */
internal class SseWriter(private val out: OutputStream) {
    fun data(json: String, event: String? = null) {
        val name = event?.let { "event: $it\n" }.orEmpty()
        out.write("${name}data: $json\n\n".toByteArray())
        out.flush()
    }

    /** Writes a comment, only to detect whether the caller has disconnected. */
    fun ping() {
        out.write(": ping\n\n".toByteArray())
        out.flush()
    }
}
