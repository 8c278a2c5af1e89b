package org.bramleytrestle.routing

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.OrganisationId

@OptIn(ExperimentalCoroutinesApi::class)
class RouterTest {
    private val hour = 3600.seconds

    private fun TestScope.newWork(tokens: Int = 10, model: String = MODEL) =
        work(testTimeSource, Arrival(0.seconds, tokens, model = model, deadline = hour))

    /** Guards against slots that leak on cancellation or expiry, or are released twice. */
    @Test
    fun `all slots are free again after any mix of outcomes`() = runTest {
        checkAll(PropTestConfig(seed = 3, iterations = 30), Arb.int()) { seed ->
            val random = Random(seed)
            val scope = TestScope()
            val planner = FakePlanner(mapOf(MODEL to listOf(listOf("a", "b"), listOf("a", "c"))), 3)
            val router = scope.router(planner)
            val outcomes = listOf(
                AttemptOutcome.Completed,
                AttemptOutcome.Cancelled,
                AttemptOutcome.Failed(InstanceId("a"), overloaded = false)
            )
            repeat(60) { index ->
                val arrival = Arrival(0.seconds, 1 + random.nextInt(99), deadline = 1.seconds)
                val job = scope.launch {
                    delay(random.nextInt(500).milliseconds)
                    val work = work(scope.testTimeSource, arrival, "r$index")
                    val dispatch = router.acquire(work).get() ?: return@launch
                    try {
                        repeat(random.nextInt(100)) {
                            delay(5.milliseconds)
                            dispatch.recordTokens(1)
                        }
                    } finally {
                        repeat(2) { dispatch.finish(outcomes.random(random)) }
                    }
                }
                scope.launch {
                    delay(random.nextInt(1000).milliseconds)
                    if (random.nextInt(3) == 0) job.cancel()
                }
            }
            scope.testScheduler.advanceUntilIdle()
            val taken = generateSequence {
                var result: Dispatch? = null
                scope.launch {
                    val probe =
                        work(scope.testTimeSource, Arrival(0.seconds, 1, deadline = 1.seconds))
                    result = router.acquire(probe).get()
                }
                scope.testScheduler.advanceUntilIdle()
                result
            }
            assertEquals(3, taken.take(4).count(), "slots of server a, seed $seed")
        }
    }

    /** Guards against a model without free servers that blocks the work of other models. */
    @Test
    fun `work without capacity does not block another model`() = runTest {
        val planner =
            FakePlanner(mapOf(MODEL to listOf(listOf("a")), "m2" to listOf(listOf("b"))), 1)
        val router = router(planner)
        router.acquire(newWork())
        val blocked = async { router.acquire(newWork()) }
        testScheduler.runCurrent()
        assertNotNull(async { router.acquire(newWork(model = "m2")) }.await().get())
        assertTrue(blocked.isActive)
        blocked.cancel()
    }

    /** Guards against work that stays queued although a snapshot has added capacity. */
    @Test
    fun `queued work starts when a snapshot brings more slots`() = runTest {
        val planner = FakePlanner(servers(1), 1)
        val router = router(planner)
        router.acquire(newWork())
        val queued = async { router.acquire(newWork()) }
        testScheduler.runCurrent()
        val reports = planner.snapshot.reports.mapValues { it.value.copy(slots = 2) }
        planner.publish(planner.snapshot.copy(reports = reports))
        router.onSnapshot()
        testScheduler.runCurrent()
        assertNotNull(queued.await().get())
        assertEquals(0L, testScheduler.currentTime)
    }

    /** Guards against refusals with the wrong kind and against late refusals. */
    @Test
    fun `refusals name their reason`() = runTest {
        val limited = """{"models":{"$MODEL":{"layers":1}},""" +
            """"defaults":{"models":["$MODEL"],"newShare":0}}"""
        val planner = FakePlanner(servers(1) + ("m2" to listOf(listOf("b"))), 1, limited)
        val router = router(planner)
        suspend fun kind(work: Work) = router.acquire(work).getError()?.kind
        assertEquals(ErrorKind.MODEL_NOT_ALLOWED, kind(newWork(model = "m2")))
        val gone = newWork().copy(excluded = setOf(InstanceId("s0")))
        assertEquals(ErrorKind.NO_ROUTE, kind(gone))
        assertEquals(ErrorKind.BACKEND_FAILED, kind(gone.copy(attempt = 2, mayHaveRun = true)))
        assertNull(kind(newWork()))
        val waiting = newWork().copy(deadline = testTimeSource.markNow() + 1.seconds)
        assertEquals(ErrorKind.DEADLINE_NOT_RUN, kind(waiting))
        assertEquals(1000L, testScheduler.currentTime)
        val late = waiting.copy(deadline = testTimeSource.markNow() + 1.milliseconds)
        val failure = router.acquire(late).getError()
        assertEquals(ErrorKind.OVERLOADED, failure?.kind)
        assertEquals(1, failure?.retryAfterSeconds)
        assertEquals(1000L, testScheduler.currentTime)
    }

    /** Guards against underestimated work that delays short work at the same priority. */
    @Test
    fun `work that exceeds its estimate is demoted once`() = runTest {
        val router = router(FakePlanner(servers(1), 4))
        val dispatch = router.acquire(newWork(tokens = 60)).get()!!
        assertNull(dispatch.recordTokens(64))
        assertTrue(dispatch.recordTokens(1)!! > dispatch.priority)
        assertNull(dispatch.recordTokens(100))
    }

    /** Guards against an organisation that exceeds its limit or delays other organisations. */
    @Test
    fun `an organisation gets its limit and no more`() = runTest {
        val json = """{"organisations":{"lab":{"overrides":{"tokensPerSecond":200}}}}"""
        val planner = FakePlanner(servers(8), 4, json)
        val self = InstanceId("n0")
        val limiter = OrganisationLimiter(self, testTimeSource, { _, members -> members })
        limiter.onView(listOf(self), planner.snapshot.settings)
        val load = poissonArrivals(Random(4), 20.0, 30) { Arrival(it, 20, deadline = 4.seconds) }
        val other =
            poissonArrivals(Random(5), 20.0, 30) { Arrival(it, 20, "other", deadline = 4.seconds) }
        val results = simulate(router(planner, limiter), planner, load + other)
        val tokens = results.filter {
            it.metDeadline && it.arrival.organisation == "lab"
        }.sumOf { it.arrival.tokens }
        // Without grants only the static half is available, and only after the maximum delay.
        val maximum = 100 * (30 + 4 + 1) + 20
        assertTrue(tokens in 100 * 25..maximum, "$tokens tokens, at most $maximum")
        assertTrue(results.any { it.failure == ErrorKind.RATE_LIMITED })
        val free = results.filter {
            it.arrival.organisation == "other" && it.arrival.at > 3.seconds
        }
        assertTrue(free.all { it.metDeadline })
        assertEquals(100.0, limiter.rate(OrganisationId("lab")))
    }
}
