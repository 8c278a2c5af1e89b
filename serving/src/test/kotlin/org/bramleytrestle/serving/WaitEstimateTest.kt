package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class WaitEstimateTest {
    private val clock = FakeClock()
    private val shortest = 130.milliseconds

    private fun after(vararg waits: Int) = WaitEstimate(600.milliseconds, clock::now)
        .apply { waits.forEach { add(it.milliseconds) } }

    @Test
    fun `steady waits make a short limit and nothing known makes the longest`() {
        assertEquals(600.milliseconds, after().limit(shortest))
        assertEquals(shortest, after(*IntArray(40) { 35 }).limit(shortest))
    }

    @Test
    fun `waits that grow under load raise the limit, so that load alone repeats nothing`() {
        val growing = IntArray(40) { 35 } + IntArray(40) { if (it % 2 == 0) 90 else 150 }
        val limit = after(*growing).limit(shortest)
        assertTrue(limit > 250.milliseconds, "$limit")
    }

    // Guards against a repair that comes too late because some passes take longer than others.
    @Test
    fun `waits that differ and stay short do not delay the repair`() {
        val passes = IntArray(40) { if (it % 8 == 7) 112 else 35 }
        assertEquals(shortest, after(*passes).limit(shortest))
    }

    @Test
    fun `a long wait is forgotten two windows after it`() {
        val estimate = after(*IntArray(40) { 35 }, 400)
        assertTrue(estimate.limit(shortest) > 300.milliseconds)
        repeat(2) {
            clock.advance(1.seconds)
            estimate.add(35.milliseconds)
        }
        assertEquals(shortest, estimate.limit(shortest))
    }
}
