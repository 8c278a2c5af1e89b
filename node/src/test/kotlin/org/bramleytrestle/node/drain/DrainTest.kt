package org.bramleytrestle.node.drain

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest

class DrainTest {
    @Test
    fun `a drain accepts for the keep time, then refuses, then waits for requests in flight`() =
        runTest {
            var told = 0
            val drain = Drain(keepTime = 35.seconds) { told++ }
            val run = launch { drain.run() }
            delay(34.seconds)
            assertEquals(DrainPhase.LEAVING, drain.phase)
            assertTrue(drain.accepting)
            drain.counting {
                launch { delay(1.milliseconds) }
                testScheduler.advanceTimeBy(2.seconds)
                assertFalse(drain.accepting)
                testScheduler.advanceTimeBy(60.seconds)
                assertTrue(run.isActive)
                assertEquals(1, drain.inFlight)
            }
            run.join()
            assertEquals(DrainPhase.DONE, drain.phase)
            assertEquals(1, told)
        }

    @Test
    fun `a second drain waits for the first and does not tell peers again`() = runTest {
        var told = 0
        val drain = Drain(keepTime = 1.seconds) { told++ }
        launch { drain.run() }
        drain.run()
        assertEquals(DrainPhase.DONE, drain.phase)
        assertEquals(1, told)
    }
}
