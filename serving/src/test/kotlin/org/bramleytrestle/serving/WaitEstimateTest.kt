package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class WaitEstimateTest {
    private fun after(vararg waits: Int) = WaitEstimate(130.milliseconds, 600.milliseconds)
        .apply { waits.forEach { add(it.milliseconds) } }.limit

    @Test
    fun `steady waits make a short limit and nothing known makes the longest`() {
        assertEquals(600.milliseconds, after())
        assertEquals(130.milliseconds, after(*IntArray(40) { 35 }))
    }

    @Test
    fun `waits that grow under load raise the limit, so that load alone repeats nothing`() {
        val limit = after(*IntArray(40) { 35 }, *IntArray(40) { if (it % 2 == 0) 90 else 150 })
        assertTrue(limit > 250.milliseconds, "$limit")
    }
}
