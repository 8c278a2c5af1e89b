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
    fun `accepts until cached entries expire, then refuses and waits for requests in flight`() =
        runTest {
            var leaveNotifications = 0
            val drain = Drain(entriesMaxAge = 35.seconds) { leaveNotifications++ }
            val run = launch { drain.run() }
            delay(34.seconds)
            assertEquals(DrainPhase.LEAVING, drain.phase)
            assertTrue(drain.accepting)
            drain.trackInFlight {
                launch { delay(1.milliseconds) }
                testScheduler.advanceTimeBy(2.seconds)
                assertFalse(drain.accepting)
                testScheduler.advanceTimeBy(60.seconds)
                assertTrue(run.isActive)
                assertEquals(1, drain.inFlight)
            }
            run.join()
            assertEquals(DrainPhase.DONE, drain.phase)
            assertEquals(1, leaveNotifications)
        }

    @Test
    fun `a second drain waits for the first and does not notify peers again`() = runTest {
        var leaveNotifications = 0
        val drain = Drain(entriesMaxAge = 1.seconds) { leaveNotifications++ }
        launch { drain.run() }
        drain.run()
        assertEquals(DrainPhase.DONE, drain.phase)
        assertEquals(1, leaveNotifications)
    }
}
