package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class NodeLifecycleTest {
    private data class Case(
        val after: Duration,
        val streams: Boolean,
        val all: Boolean,
        val endsIdle: Boolean,
        val endsBusy: Boolean
    )

    @Test
    fun `a leaving node serves old lists, then refuses, and ends before it is killed`() {
        val cases = listOf(
            Case(0.seconds, streams = false, all = false, endsIdle = false, endsBusy = false),
            Case(3.seconds, streams = true, all = false, endsIdle = false, endsBusy = false),
            Case(6.5.seconds, streams = true, all = false, endsIdle = true, endsBusy = false),
            Case(7.5.seconds, streams = true, all = true, endsIdle = true, endsBusy = false),
            Case(7.8.seconds, streams = true, all = true, endsIdle = true, endsBusy = true)
        )
        for (case in cases) {
            val clock = FakeClock()
            val lifecycle = NodeLifecycle(8.seconds, clock::now)
            lifecycle.leave()
            clock.advance(case.after)
            val got = Case(
                case.after,
                lifecycle.refusesStreams,
                lifecycle.refusesAll,
                lifecycle.mayExit(0),
                lifecycle.mayExit(3)
            )
            assertEquals(case, got)
        }
    }
}
