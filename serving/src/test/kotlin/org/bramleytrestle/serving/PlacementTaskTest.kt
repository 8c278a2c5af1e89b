package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest

class PlacementTaskTest {
    /** Guards against layers that nobody places any more although the lease is renewed. */
    @Test
    fun `the placement goes on after any failure of a step`() = runTest {
        val failures = listOf(
            IllegalStateException("layers"),
            IllegalArgumentException("URL"),
            NoSuchElementException("card"),
            OutOfMemoryError("heap"),
            StackOverflowError()
        )
        for (failure in failures) {
            var steps = 0
            val task = launch {
                PlacementTask(holdsLease = { true }) { if (++steps == 2) throw failure }.run()
            }
            delay(1.seconds)
            task.cancel()
            assertEquals(5, steps, "$failure")
        }
    }

    @Test
    fun `no step runs while another node holds the lease`() = runTest {
        var holds = false
        var steps = 0
        val task = launch { PlacementTask({ holds }) { steps++ }.run() }
        delay(2.seconds)
        assertEquals(0, steps)
        holds = true
        delay(1.seconds)
        task.cancel()
        assertEquals(true, steps > 0)
    }
}
