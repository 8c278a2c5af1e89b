package org.bramleytrestle.backend

import okio.BufferedSource

/** Parses server-sent events. Skips comments and fields other than `event` and `data`. */
internal class SseReader(private val source: BufferedSource) {
    class Event(val name: String, val data: String)

    /** Returns the next event, or null at the end of the stream. Drops an incomplete last event. */
    fun next(): Event? {
        var name = ""
        val data = StringBuilder()
        while (true) {
            val line = source.readUtf8Line() ?: return null
            when {
                line.isEmpty() && (name.isNotEmpty() || data.isNotEmpty()) ->
                    return Event(name, data.toString())

                line.startsWith(EVENT) -> name = line.substring(EVENT.length).trim()

                line.startsWith(DATA) -> data.append(line, DATA.length, line.length)
            }
        }
    }

    private companion object {
        const val EVENT = "event:"
        const val DATA = "data:"
    }
}
