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

/** Simulated overload in virtual time; bounds are the targets of the design page. */
@OptIn(ExperimentalCoroutinesApi::class)
class OverloadTest {
    private val seeds = listOf(1, 2, 3)

    /** 8 servers with 4 slots and 10 ms per token: 160 requests/s of 20 tokens. */
    private val capacity = 160.0

    private fun planner(inTurn: Boolean = false, settings: String = "{}") =
        FakePlanner(servers(8), slots = 4, inTurn = inTurn, settings = settings)

    private fun shorts(seed: Int, perSecond: Double) = poisson(Random(seed), perSecond, 20) {
        Arrival(it, tokens = 20, deadline = 1.seconds)
    }

    private fun TestScope.default(load: List<Arrival>, settings: String = "{}"): List<Served> =
        planner(settings = settings).let { simulate(router(it), it, load) }

    /** Guards against a queue in which all work waits until it is too late to be useful. */
    @Test
    fun `goodput at twice the capacity stays near the capacity`() = seeds.forEach { seed ->
        runTest {
            val load = shorts(seed, capacity * 2)
            val served = default(load)
            val baseline = planner(inTurn = true).let {
                simulate(FifoRequestRouter(it, testTimeSource), it, load)
            }
            val goodput = served.count { it.good } / 20.0
            val admitted = served.filter { it.failure == null }
            val baselineGoodput = baseline.count { it.good } / 20.0
            println("overload: seed $seed goodput $goodput/s baseline $baselineGoodput/s")
            assertTrue(goodput >= capacity * 0.9, "goodput $goodput")
            assertTrue(admitted.count { it.good } >= admitted.size * 0.95)
            assertTrue(goodput > baselineGoodput)
            assertTrue(served.mapNotNull { it.failure }.all { it.executed == Executed.NO })
        }
    }

    /** Guards against a peak that is answered late instead of being refused at once. */
    @Test
    fun `in a peak of three times the mean load admitted short work meets its deadline`() =
        seeds.forEach { seed ->
            runTest {
                val mean = shorts(seed, capacity * 0.6)
                val peak = shorts(seed + 10, capacity * 1.2).filter {
                    it.at in 5.seconds..9.seconds
                }
                val served = default(mean + peak)
                val admitted = served.filter { it.failure == null }
                val refused = served.filter { it.failure != null }
                println("peak: seed $seed good ${admitted.count { it.good }} of ${admitted.size}")
                assertTrue(admitted.count { it.good } >= admitted.size * 0.95)
                val late = refused.count { it.wait > 50.milliseconds }
                assertTrue(late <= served.size * 0.05, "$late refused late")
            }
        }

    /**
     * Guards against long runs that hold all slots while short work waits: bulk work known to be
     * long, and a few requests that turn out 50 times longer than the rest.
     */
    @Test
    fun `stragglers raise the p99 wait of short work at most 1,5 times`() = seeds.forEach { seed ->
        runTest {
            val random = Random(seed)
            val calm = poisson(random, capacity / 48, 60) {
                Arrival(it, tokens = 20, maxTokens = 2000, deadline = 30.seconds)
            }.flatMap { burst -> List(12) { burst } }
            val mixed = calm.map { if (random.nextInt(500) == 0) it.copy(tokens = 1000) else it }
            val bulk = List(40) {
                Arrival((it / 20 * 30 + 5).seconds, 500, "bulk", deadline = 60.seconds)
            }
            val reserving = """{"defaults":{"shortReserve":0.75}}"""
            val before = shortWait(default(calm, reserving))
            val after = shortWait(default(mixed + bulk, reserving))
            val baseline = planner(inTurn = true).let {
                shortWait(simulate(FifoRequestRouter(it, testTimeSource), it, mixed + bulk))
            }
            println("stragglers: seed $seed p99 $before, with $after, baseline $baseline")
            assertTrue(after <= before * 1.5, "with $after, without $before")
        }
    }

    private fun shortWait(served: List<Served>) =
        served.filter { it.arrival.tokens == 20 && it.failure == null }.map { it.wait }.p99()

    /** Guards against long work that waits for as long as short work keeps coming. */
    @Test
    fun `long work starts within a bounded time under constant short overload`() =
        seeds.forEach { seed ->
            runTest {
                // The history of "lab" makes its long requests look short until they outrun it.
                val longs = List(10) {
                    val organisation = if (it % 2 == 0) "lab" else "bulk"
                    Arrival((2 * it).seconds, 200, organisation, deadline = 30.seconds)
                }
                val served = default(shorts(seed, capacity * 1.5) + longs)
                val long = served.filter { it.arrival.tokens == 200 }
                println("starvation: seed $seed longest wait ${long.maxOf { it.wait }}")
                assertEquals(10, long.count { it.good })
                assertTrue(long.all { it.wait <= 3.seconds })
            }
        }
}
