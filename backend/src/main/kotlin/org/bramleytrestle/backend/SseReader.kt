package org.bramleytrestle.backend

import okio.BufferedSource
import org.bramleytrestle.http.OversizedBodyException
import org.bramleytrestle.http.boundedLine

/** Parses server-sent events. Skips comments and fields other than `event` and `data`. */
internal class SseReader(private val source: BufferedSource) {
    class Event(val name: String, val data: String)

    /** Returns the next event, or null at the end of the stream. Drops an incomplete last event. */
    fun next(): Event? {
        var name = ""
        val data = StringBuilder()
        while (true) {
            val line = source.boundedLine(MAX_EVENT_BYTES) ?: return null
            if (data.length + line.length > MAX_EVENT_BYTES) {
                throw OversizedBodyException("an event", MAX_EVENT_BYTES)
            }
            when {
                line.isEmpty() && (name.isNotEmpty() || data.isNotEmpty()) ->
                    return Event(name, data.toString())

                line.startsWith(EVENT) -> name = line.substring(EVENT.length).trim()

                line.startsWith(DATA) -> data.append(line, DATA.length, line.length)
            }
        }
    }

    private companion object {
        /** Many times the size of an event with several tokens. */
        const val MAX_EVENT_BYTES = 256L * 1024
        const val EVENT = "event:"
        const val DATA = "data:"
    }
}
