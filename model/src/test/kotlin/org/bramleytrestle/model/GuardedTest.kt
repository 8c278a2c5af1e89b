package org.bramleytrestle.model

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest

class GuardedTest {
    private val failures = listOf(
        IllegalStateException("exception"),
        IllegalArgumentException("argument"),
        OutOfMemoryError("heap"),
        StackOverflowError(),
        CancellationException("of something that the step awaits")
    )

    /** Guards against a task that one failure ends for good. */
    @Test
    fun `a task goes on after any failure and ends when it is cancelled`() = runTest {
        val left = ArrayDeque<Throwable>(failures)
        val reached = CompletableDeferred<Unit>()
        var ended = false
        val job = launch {
            try {
                keepRunning("test", 1.seconds) {
                    left.removeFirstOrNull()?.let { throw it }
                    reached.complete(Unit)
                    delay(1_000.seconds)
                }
            } finally {
                ended = true
            }
        }
        reached.await()
        job.cancel()
        job.join()
        assertTrue(ended)
        assertTrue(job.isCancelled)
    }

    @Test
    fun `a failed step is told from one that succeeded`() = runTest {
        for (failure in failures) {
            assertEquals(false, guarded("test") { throw failure }, "$failure")
            assertEquals(false, guardedBlocking("test") { throw failure }, "$failure")
        }
        assertTrue(guarded("test") {})
        assertTrue(guardedBlocking("test") {})
    }
}
