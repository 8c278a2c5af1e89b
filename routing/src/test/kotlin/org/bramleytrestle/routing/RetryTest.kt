package org.bramleytrestle.routing

import com.github.michaelbull.result.get
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.Executed
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.RepeatPolicy
import org.bramleytrestle.model.ServiceName
import org.bramleytrestle.model.Side

@OptIn(ExperimentalCoroutinesApi::class)
class RetryTest {
    private val server = InstanceId("s0")

    private fun TestScope.arrive() =
        work(testTimeSource, Arrival(0.seconds, 10, deadline = 60.seconds))

    private fun failed(notRun: Boolean, policy: RepeatPolicy = RepeatPolicy.NEVER) =
        FailedAttempt(server, notRun, policy, Side.OLD)

    /** Guards against a second run of a call that may not be repeated, and against false proof. */
    @Test
    fun `only safe attempts are repeated and only proof says not run`() = runTest {
        val call = arrive().copy(model = null, service = ServiceName("booking"))
        val planner = FakePlanner(servers(3) + ("booking" to listOf(listOf("b0"))), 4)
        val retry = { work: Work, failed: FailedAttempt -> router(planner).retry(work, failed) }
        val late = { work: Work -> work.copy(deadline = testTimeSource.markNow() + 1.milliseconds) }
        fun giveUp(kind: ErrorKind) = RetryDecision.GiveUp(kind)
        val never = failed(notRun = false)
        assertEquals(giveUp(ErrorKind.OUTCOME_UNKNOWN), retry(call, never))
        assertIs<RetryDecision.Retry>(retry(call, failed(notRun = true)))
        assertIs<RetryDecision.Retry>(retry(call, failed(false, RepeatPolicy.DEDUPLICATED)))
        assertIs<RetryDecision.Retry>(retry(arrive(), never))
        val last = arrive().copy(attempt = 4)
        assertEquals(giveUp(ErrorKind.BACKEND_FAILED), retry(last, never))
        assertEquals(giveUp(ErrorKind.OVERLOADED), retry(last, failed(true)))
        assertEquals(
            giveUp(ErrorKind.BACKEND_FAILED),
            retry(last.copy(mayHaveRun = true), failed(true))
        )
        assertEquals(giveUp(ErrorKind.DEADLINE_EXCEEDED), retry(late(arrive()), never))
        assertEquals(giveUp(ErrorKind.DEADLINE_NOT_RUN), retry(late(arrive()), failed(true)))
        val deduplicated = failed(false, RepeatPolicy.DEDUPLICATED)
        assertEquals(
            giveUp(ErrorKind.OUTCOME_UNKNOWN),
            retry(call.copy(attempt = 4), deduplicated)
        )
    }

    /** Guards against a retry on the failed server, and against a needless change of side. */
    @Test
    fun `a retry avoids the failed server and changes side only without a server left`() = runTest {
        val two = FakePlanner(mapOf(MODEL to listOf(listOf("s0"), listOf("s1"))), 4)
        val same = assertIs<RetryDecision.Retry>(router(two).retry(arrive(), failed(false)))
        assertEquals(setOf(server), same.work.excluded)
        assertEquals(Side.OLD, same.work.side)
        assertTrue(same.work.mayHaveRun)
        val split = FakePlanner(mapOf(MODEL to listOf(listOf("old-0"), listOf("s0"))), 4)
        val failedNew = failed(false).copy(side = Side.NEW)
        val other = assertIs<RetryDecision.Retry>(router(split).retry(arrive(), failedNew))
        assertEquals(Side.OLD, other.work.side)
    }

    /** Guards against failures under overload that multiply the load. */
    @Test
    fun `retries stay within the budget and do not use up the recoveries`() = runTest {
        val router = router(FakePlanner(servers(2), 1000))
        var again = 0
        var recovered = 0
        repeat(400) {
            val work = arrive()
            val dispatch = router.acquire(work).get()!!
            if (router.retry(work, failed(true)) is RetryDecision.Retry) again++
            dispatch.finish(AttemptOutcome.Failed(dispatch.hops[0].instance, overloaded = false))
        }
        assertTrue(again in 80..83, "$again retries, budget 0.2 of 400 and a floor of 3")
        repeat(1000) {
            val stream = arrive().copy(emittedTokens = 5)
            when (val decision = router.retry(stream, failed(false))) {
                is RetryDecision.Retry -> recovered++
                is RetryDecision.GiveUp -> assertEquals(Executed.UNKNOWN, decision.kind.executed)
            }
        }
        assertTrue(recovered in 400..403, "$recovered recoveries of 400 streams")
    }

    /** Guards against a broken stream that waits behind new work. */
    @Test
    fun `a resumed stream goes ahead of first attempts`() = runTest {
        val router = router(FakePlanner(servers(1), 1))
        val running = router.acquire(arrive()).get()!!
        val first = async { router.acquire(arrive()) }
        testScheduler.runCurrent()
        val resumed = async { router.acquire(arrive().copy(attempt = 2, emittedTokens = 5)) }
        testScheduler.runCurrent()
        running.finish(AttemptOutcome.Completed)
        testScheduler.runCurrent()
        assertTrue(resumed.isCompleted)
        assertTrue(first.isActive)
        first.cancel()
    }
}
