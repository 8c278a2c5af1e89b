package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class WatchdogTest {
    private fun exchange(onCancel: () -> Unit) = object : ServerExchange {
        override fun await() = error("not used")

        override fun cancel() = onCancel()

        override fun close() = Unit
    }

    @Test
    fun `streams that stall together are cancelled only as far as the retry budget allows`() {
        val clock = FakeClock()
        val watchdog = Watchdog(clock::now)
        var cancelled = 0
        var retries = 3
        repeat(5) {
            val exchange = exchange { cancelled++ }
            val deadline = clock.now().monotonicNanos + 10.seconds.inWholeNanoseconds
            watchdog.watch(deadline) { false }
                .arm(exchange, clock.now().monotonicNanos, 100.milliseconds) { retries-- > 0 }
        }
        clock.advance(200.milliseconds)
        repeat(3) { watchdog.check() }
        assertEquals(3, cancelled)
    }

    /** Guards against requests that are never ended because the check of another one fails. */
    @Test
    fun `a request whose check fails keeps no other one from its deadline`() {
        val failures = listOf(IllegalStateException("socket"), OutOfMemoryError("heap"))
        for (failure in failures) {
            val clock = FakeClock()
            val watchdog = Watchdog(clock::now)
            var cancelled = 0
            val deadline = clock.now().monotonicNanos + 1.seconds.inWholeNanoseconds
            repeat(10) { number ->
                watchdog.watch(deadline) { if (number % 2 == 0) throw failure else false }
                    .arm(exchange { cancelled++ }, clock.now().monotonicNanos, null)
            }
            watchdog.check()
            assertEquals(0, cancelled)
            clock.advance(2.seconds)
            watchdog.check()
            assertEquals(10, cancelled, "$failure")
        }
    }

    // Guards against a stalled stream that is not moved after capacity became free elsewhere.
    @Test
    fun `a stalled exchange is checked again until it may be cancelled`() {
        val clock = FakeClock()
        val watchdog = Watchdog(clock::now)
        var cancelled = 0
        var capacityElsewhere = false
        val exchange = exchange { cancelled++ }
        val deadline = clock.now().monotonicNanos + 10.seconds.inWholeNanoseconds
        watchdog.watch(deadline) { false }
            .arm(exchange, clock.now().monotonicNanos, 100.milliseconds) { capacityElsewhere }
        clock.advance(150.milliseconds)
        watchdog.check()
        assertEquals(0, cancelled)
        capacityElsewhere = true
        clock.advance(150.milliseconds)
        watchdog.check()
        assertEquals(1, cancelled)
    }
}
