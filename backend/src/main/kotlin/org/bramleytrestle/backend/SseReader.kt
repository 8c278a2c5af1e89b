package org.bramleytrestle.backend

import okio.BufferedSource

/** Reads server-sent events; lines that the protocol does not use are skipped. */
internal class SseReader(private val source: BufferedSource) {
    class Event(val name: String, val data: String)

    /** The next event, or null if the stream ended. An event cut off by the end is dropped. */
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
