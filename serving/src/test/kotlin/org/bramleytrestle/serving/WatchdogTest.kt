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
    fun `streams that stall together end only as far as the retry budget reaches`() {
        val clock = FakeClock()
        val watchdog = Watchdog(clock::now)
        var ended = 0
        var left = 3
        repeat(5) {
            val exchange = exchange { ended++ }
            val deadline = clock.now().monotonicNanos + 10.seconds.inWholeNanoseconds
            watchdog.watch(deadline) { false }
                .arm(exchange, clock.now().monotonicNanos, 100.milliseconds) { left-- > 0 }
        }
        clock.advance(200.milliseconds)
        repeat(3) { watchdog.check() }
        assertEquals(3, ended)
    }

    // Guards against a silent stream that stays where it is after room appeared elsewhere.
    @Test
    fun `silence is looked at again until it may end the exchange`() {
        val clock = FakeClock()
        val watchdog = Watchdog(clock::now)
        var ended = 0
        var room = false
        val exchange = exchange { ended++ }
        val deadline = clock.now().monotonicNanos + 10.seconds.inWholeNanoseconds
        watchdog.watch(deadline) { false }
            .arm(exchange, clock.now().monotonicNanos, 100.milliseconds) { room }
        clock.advance(150.milliseconds)
        watchdog.check()
        assertEquals(0, ended)
        room = true
        clock.advance(150.milliseconds)
        watchdog.check()
        assertEquals(1, ended)
    }
}
