package org.bramleytrestle.serving

import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import org.bramleytrestle.model.guardedBlocking

/** Threads for second attempts at streams whose servers have fallen silent. */
internal class HedgeThreads {
    private val executor = ThreadPoolExecutor(
        0,
        MAX_THREADS,
        IDLE_SECONDS,
        TimeUnit.SECONDS,
        SynchronousQueue()
    ) { task -> Thread(null, task, "hedge", STACK_BYTES).apply { isDaemon = true } }

    /** Runs [task] in a thread of its own; returns false if all are in use. */
    fun start(task: () -> Unit): Boolean = try {
        executor.execute { guardedBlocking("hedge", task) }
        true
    } catch (_: RejectedExecutionException) {
        // The caller tries again at the next check of its request.
        false
    }

    private companion object {
        /** Streams of one node that fall silent together when a data centre is cut off. */
        const val MAX_THREADS = 128
        const val IDLE_SECONDS = 5L
        const val STACK_BYTES = 256L * 1024
    }
}
