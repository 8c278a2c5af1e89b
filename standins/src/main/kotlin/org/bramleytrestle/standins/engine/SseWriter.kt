package org.bramleytrestle.standins.engine

import java.io.OutputStream
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

/** Writes server-sent events. Synchronized, as pings and tokens come from different coroutines. */
internal class SseWriter(
    private val output: OutputStream,
    private val beforeWrite: suspend () -> Unit
) {
    private val mutex = Mutex()

    @Volatile
    private var lastWriteNanos = System.nanoTime()

    val idleMillis: Long get() = (System.nanoTime() - lastWriteNanos) / NANOS_PER_MILLI

    suspend fun write(event: String, data: String) {
        beforeWrite()
        mutex.withLock {
            output.write("event: $event\ndata: $data\n\n".toByteArray())
            output.flush()
            lastWriteNanos = System.nanoTime()
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
