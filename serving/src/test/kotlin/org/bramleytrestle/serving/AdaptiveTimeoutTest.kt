package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AdaptiveTimeoutTest {
    private val clock = FakeClock()
    private val min = 130.milliseconds

    private fun after(vararg waits: Int) = AdaptiveTimeout(600.milliseconds, clock::now)
        .apply { waits.forEach { record(it.milliseconds) } }

    @Test
    fun `steady waits give the minimum and no measurements give the maximum`() {
        assertEquals(600.milliseconds, after().timeout(min))
        assertEquals(min, after(*IntArray(40) { 35 }).timeout(min))
    }

    @Test
    fun `waits that grow under load raise the timeout, so that load alone causes no retries`() {
        val growing = IntArray(40) { 35 } + IntArray(40) { if (it % 2 == 0) 90 else 150 }
        val timeout = after(*growing).timeout(min)
        assertTrue(timeout > 250.milliseconds, "$timeout")
    }

    // Guards against a late repair: some passes take longer than others and raise the deviation.
    @Test
    fun `varying waits below the minimum do not raise the timeout`() {
        val passes = IntArray(40) { if (it % 8 == 7) 112 else 35 }
        assertEquals(min, after(*passes).timeout(min))
    }

    @Test
    fun `a long wait no longer counts after two windows`() {
        val timeout = after(*IntArray(40) { 35 }, 400)
        assertTrue(timeout.timeout(min) > 300.milliseconds)
        repeat(2) {
            clock.advance(1.seconds)
            timeout.record(35.milliseconds)
        }
        assertEquals(min, timeout.timeout(min))
    }
}
