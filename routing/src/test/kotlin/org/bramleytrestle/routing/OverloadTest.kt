package org.bramleytrestle.routing

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.bramleytrestle.model.Executed

/** Simulates overload in virtual time. The bounds are the targets stated on the design page. */
@OptIn(ExperimentalCoroutinesApi::class)
class OverloadTest {
    private val seeds = listOf(1, 2, 3)

    /** 8 servers with 4 slots and 10 ms per token: 160 requests/s of 20 tokens. */
    private val capacity = 160.0

    private fun planner(roundRobin: Boolean = false, settings: String = "{}") =
        FakePlanner(servers(8), slots = 4, roundRobin = roundRobin, settings = settings)

    private fun shortRequests(seed: Int, perSecond: Double) =
        poissonArrivals(Random(seed), perSecond, 20) {
            Arrival(it, tokens = 20, deadline = 1.seconds)
        }

    private fun TestScope.simulateDefault(
        load: List<Arrival>,
        settings: String = "{}"
    ): List<RequestResult> = planner(settings = settings).let { simulate(router(it), it, load) }

    /** Without early refusal, all work waits in the queue until its deadline can't be met. */
    @Test
    fun `goodput at twice the capacity stays near the capacity`() = seeds.forEach { seed ->
        runTest {
            val load = shortRequests(seed, capacity * 2)
            val results = simulateDefault(load)
            val baseline = planner(roundRobin = true).let {
                simulate(FifoRequestRouter(it, testTimeSource), it, load)
            }
            val goodput = results.count { it.metDeadline } / 20.0
            val admitted = results.filter { it.failure == null }
            val baselineGoodput = baseline.count { it.metDeadline } / 20.0
            println("overload: seed $seed goodput $goodput/s baseline $baselineGoodput/s")
            assertTrue(goodput >= capacity * 0.9, "goodput $goodput")
            assertTrue(admitted.count { it.metDeadline } >= admitted.size * 0.95)
            assertTrue(goodput > baselineGoodput)
            assertTrue(results.mapNotNull { it.failure }.all { it.executed == Executed.NO })
        }
    }

    /** Guards against peak load that is queued past its deadline instead of refused at once. */
    @Test
    fun `in a peak of three times the mean load admitted short work meets its deadline`() =
        seeds.forEach { seed ->
            runTest {
                val mean = shortRequests(seed, capacity * 0.6)
                val peak = shortRequests(seed + 10, capacity * 1.2).filter {
                    it.at in 5.seconds..9.seconds
                }
                val results = simulateDefault(mean + peak)
                val admitted = results.filter { it.failure == null }
                val refused = results.filter { it.failure != null }
                val good = admitted.count { it.metDeadline }
                println("peak: seed $seed good $good of ${admitted.size}")
                assertTrue(good >= admitted.size * 0.95)
                val late = refused.count { it.wait > 50.milliseconds }
                assertTrue(late <= results.size * 0.05, "$late refused late")
            }
        }

    /**
     * Guards against long work that occupies all slots while short work waits. The load has bulk
     * work that is known to be long, and a few requests that turn out 50 times longer than others.
     */
    @Test
    fun `stragglers raise the p99 wait of short work at most 1,5 times`() = seeds.forEach { seed ->
        runTest {
            val random = Random(seed)
            val regular = poissonArrivals(random, capacity / 48, 60) {
                Arrival(it, tokens = 20, maxTokens = 2000, deadline = 30.seconds)
            }.flatMap { burst -> List(12) { burst } }
            val mixed = regular.map { if (random.nextInt(500) == 0) it.copy(tokens = 1000) else it }
            val bulk = List(40) {
                Arrival((it / 20 * 30 + 5).seconds, 500, "bulk", deadline = 60.seconds)
            }
            val settings = """{"defaults":{"shortReserve":0.75}}"""
            val before = shortWait(simulateDefault(regular, settings))
            val after = shortWait(simulateDefault(mixed + bulk, settings))
            val baseline = planner(roundRobin = true).let {
                shortWait(simulate(FifoRequestRouter(it, testTimeSource), it, mixed + bulk))
            }
            println("stragglers: seed $seed p99 $before, with $after, baseline $baseline")
            assertTrue(after <= before * 1.5, "with $after, without $before")
        }
    }

    private fun shortWait(results: List<RequestResult>) =
        results.filter { it.arrival.tokens == 20 && it.failure == null }.map { it.wait }.p99()

    /** Guards against starvation of long work while short work keeps arriving. */
    @Test
    fun `long work starts within a bounded time under constant short overload`() =
        seeds.forEach { seed ->
            runTest {
                // The history of "lab" makes its long requests look short at first.
                val longRequests = List(10) {
                    val organisation = if (it % 2 == 0) "lab" else "bulk"
                    Arrival((2 * it).seconds, 200, organisation, deadline = 30.seconds)
                }
                val results = simulateDefault(shortRequests(seed, capacity * 1.5) + longRequests)
                val long = results.filter { it.arrival.tokens == 200 }
                println("starvation: seed $seed longest wait ${long.maxOf { it.wait }}")
                assertEquals(10, long.count { it.metDeadline })
                assertTrue(long.all { it.wait <= 3.seconds })
            }
        }
}
