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

    private fun TestScope.newWork() =
        work(testTimeSource, Arrival(0.seconds, 10, deadline = 60.seconds))

    private fun failed(notRun: Boolean, policy: RepeatPolicy = RepeatPolicy.NEVER) =
        FailedAttempt(server, notRun, policy, Side.OLD)

    /** Guards against repeating calls that are not safe to repeat and against false "not run". */
    @Test
    fun `only safe attempts are repeated and only proof says not run`() = runTest {
        val call = newWork().copy(model = null, service = ServiceName("booking"))
        val planner = FakePlanner(servers(3) + ("booking" to listOf(listOf("b0"))), 4)
        val retry = { work: Work, failed: FailedAttempt -> router(planner).retry(work, failed) }
        val late = { work: Work -> work.copy(deadline = testTimeSource.markNow() + 1.milliseconds) }
        fun giveUp(kind: ErrorKind) = RetryDecision.GiveUp(kind)
        val never = failed(notRun = false)
        assertEquals(giveUp(ErrorKind.OUTCOME_UNKNOWN), retry(call, never))
        assertIs<RetryDecision.Retry>(retry(call, failed(notRun = true)))
        assertIs<RetryDecision.Retry>(retry(call, failed(false, RepeatPolicy.DEDUPLICATED)))
        assertIs<RetryDecision.Retry>(retry(newWork(), never))
        val last = newWork().copy(attempt = 4)
        assertEquals(giveUp(ErrorKind.BACKEND_FAILED), retry(last, never))
        assertEquals(giveUp(ErrorKind.OVERLOADED), retry(last, failed(true)))
        assertEquals(
            giveUp(ErrorKind.BACKEND_FAILED),
            retry(last.copy(mayHaveRun = true), failed(true))
        )
        assertEquals(giveUp(ErrorKind.DEADLINE_EXCEEDED), retry(late(newWork()), never))
        assertEquals(giveUp(ErrorKind.DEADLINE_NOT_RUN), retry(late(newWork()), failed(true)))
        val deduplicated = failed(false, RepeatPolicy.DEDUPLICATED)
        assertEquals(
            giveUp(ErrorKind.OUTCOME_UNKNOWN),
            retry(call.copy(attempt = 4), deduplicated)
        )
    }

    /** Guards against a retry on the failed server and against an unnecessary change of side. */
    @Test
    fun `a retry avoids the failed server and changes side only without a server left`() = runTest {
        val two = FakePlanner(mapOf(MODEL to listOf(listOf("s0"), listOf("s1"))), 4)
        val same = assertIs<RetryDecision.Retry>(router(two).retry(newWork(), failed(false)))
        assertEquals(setOf(server), same.work.excluded)
        assertEquals(Side.OLD, same.work.side)
        assertTrue(same.work.mayHaveRun)
        val split = FakePlanner(mapOf(MODEL to listOf(listOf("old-0"), listOf("s0"))), 4)
        val failedNew = failed(false).copy(side = Side.NEW)
        val other = assertIs<RetryDecision.Retry>(router(split).retry(newWork(), failedNew))
        assertEquals(Side.OLD, other.work.side)
    }

    /** Guards against retries that multiply the load when attempts fail under overload. */
    @Test
    fun `retries stay within the budget and do not use up the resumptions`() = runTest {
        val router = router(FakePlanner(servers(2), 1000))
        var retries = 0
        var resumed = 0
        repeat(400) {
            val work = newWork()
            val dispatch = router.acquire(work).get()!!
            if (router.retry(work, failed(true)) is RetryDecision.Retry) retries++
            dispatch.finish(AttemptOutcome.Failed(dispatch.hops[0].instance, overloaded = false))
        }
        assertTrue(retries in 80..83, "$retries retries, budget 0.2 of 400 and a floor of 3")
        repeat(1000) {
            val stream = newWork().copy(emittedTokens = 5)
            when (val decision = router.retry(stream, failed(false))) {
                is RetryDecision.Retry -> resumed++
                is RetryDecision.GiveUp -> assertEquals(Executed.UNKNOWN, decision.kind.executed)
            }
        }
        assertTrue(resumed in 400..403, "$resumed resumptions of 400 streams")
    }

    /** Guards against an interrupted stream that waits behind new work. */
    @Test
    fun `a resumed stream goes ahead of first attempts`() = runTest {
        val router = router(FakePlanner(servers(1), 1))
        val running = router.acquire(newWork()).get()!!
        val first = async { router.acquire(newWork()) }
        testScheduler.runCurrent()
        val resumed = async { router.acquire(newWork().copy(attempt = 2, emittedTokens = 5)) }
        testScheduler.runCurrent()
        running.finish(AttemptOutcome.Completed)
        testScheduler.runCurrent()
        assertTrue(resumed.isCompleted)
        assertTrue(first.isActive)
        first.cancel()
    }
}
