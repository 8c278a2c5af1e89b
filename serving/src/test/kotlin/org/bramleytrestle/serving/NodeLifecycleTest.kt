package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class NodeLifecycleTest {
    private data class Case(
        val after: Duration,
        val refusesLong: Boolean,
        val refusesShort: Boolean,
        val exitsIdle: Boolean,
        val exitsBusy: Boolean
    )

    @Test
    fun `a leaving node serves old entry lists, then refuses, and exits before it is killed`() {
        val cases = listOf(
            Case(0.seconds, false, false, false, false),
            Case(3.seconds, refusesLong = true, false, false, false),
            Case(6.4.seconds, refusesLong = true, false, exitsIdle = true, false),
            Case(7.1.seconds, refusesLong = true, refusesShort = true, exitsIdle = true, false),
            Case(7.3.seconds, true, true, exitsIdle = true, exitsBusy = true)
        )
        for (case in cases) {
            val clock = FakeClock()
            val lifecycle = NodeLifecycle(8.seconds, clock::now)
            lifecycle.leave()
            clock.advance(case.after)
            val got = Case(
                case.after,
                lifecycle.refuses(20.seconds),
                lifecycle.refuses(600.milliseconds),
                lifecycle.mayExit(),
                lifecycle.run {
                    requestStarted()
                    mayExit()
                }
            )
            assertEquals(case, got)
        }
    }

    /** Guards against requests that are passed on late in the grace time and cut at its end. */
    @Test
    fun `each request accepted later than two seconds after the stop may end before the exit`() {
        for (longest in listOf(0.1, 0.6, 1.5, 3.0, 5.0, 20.0).map { it.seconds }) {
            val clock = FakeClock()
            val lifecycle = NodeLifecycle(8.seconds, clock::now)
            lifecycle.leave()
            repeat(80) {
                clock.advance(100.milliseconds)
                val accepted = clock.now()
                if (it < 20 || lifecycle.refuses(longest)) return@repeat
                clock.moment = accepted + longest
                lifecycle.requestStarted()
                assertEquals(false, lifecycle.mayExit(), "$longest, accepted in tick $it")
                lifecycle.requestEnded()
                clock.moment = accepted
            }
        }
    }

    @Test
    fun `a node that leaves under load exits only when no request has come for a while`() {
        val clock = FakeClock()
        val lifecycle = NodeLifecycle(8.seconds, clock::now)
        lifecycle.leave()
        clock.advance(6.2.seconds)
        lifecycle.requestStarted()
        lifecycle.requestEnded()
        assertEquals(false, lifecycle.mayExit())
        clock.advance(300.milliseconds)
        assertEquals(true, lifecycle.mayExit())
    }
}
