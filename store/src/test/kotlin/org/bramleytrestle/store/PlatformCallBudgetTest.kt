package org.bramleytrestle.store

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import kotlinx.serialization.json.JsonObject

class PlatformCallBudgetTest {
    private fun TestScope.budget(seed: Int, rate: Double, burst: Double = 20.0) =
        PlatformCallBudget(
            { rate },
            burst,
            timeSource = testTimeSource,
            random = Random(seed)
        )

    /** Returns the calls per second of [nodes] nodes during an outage and after it. */
    private suspend fun TestScope.callsAroundOutage(nodes: Int): Pair<List<Int>, List<Int>> {
        val fake = FakeObjectStore()
        fake.latency = 5.milliseconds
        val jobs = List(nodes) { node ->
            val store = BudgetedObjectStore(fake, budget(node, FLEET_RATE / nodes))
            listOf("changes", "instances", "leases").map { kind ->
                launch {
                    while (true) {
                        store.list(kind, limit = 1)
                        delay(1.seconds)
                    }
                }
            }
        }.flatten()
        suspend fun perSecond() = List(SECONDS) {
            val before = fake.calls
            delay(1.seconds)
            fake.calls - before
        }
        delay(10.seconds)
        fake.down = true
        val during = perSecond()
        fake.down = false
        val after = perSecond()
        jobs.forEach { it.cancel() }
        return during to after
    }

    // Guards against a burst of calls at the end of an outage, which can cause the next outage.
    @Test
    fun `an outage causes no burst of calls from 9 or 1100 nodes`() = runTest {
        for (nodes in listOf(9, 1100)) {
            val (during, after) = callsAroundOutage(nodes)
            val steady = minOf(FLEET_RATE, nodes * 3.0)
            assertTrue(during.drop(20).max() <= nodes / MIN_PROBE_INTERVAL_SECONDS + 5)
            assertTrue(after.max() <= steady * 1.2)
            assertTrue(after.takeLast(10).average() >= steady * 0.5)
        }
    }

    // Guards against a lease that expires because large lists use up the budget.
    @Test
    fun `lease renewals and call records overtake waiting lists`() = runTest {
        val fake = FakeObjectStore()
        val store = BudgetedObjectStore(fake, budget(1, rate = 10.0))
        val value = JsonObject(emptyMap())
        repeat(10) {
            launch {
                repeat(100) {
                    store.list("instances")
                    delay(10.milliseconds)
                }
            }
        }
        delay(2.seconds)
        repeat(5) {
            assertTrue(store.create("leases", "l$it", value).isOk)
            assertTrue(store.create("calls", "c$it", value).isOk)
            delay(1.seconds)
        }
    }

    @Test
    fun `counts distinguish sent, failed and refused calls`() = runTest {
        val fake = FakeObjectStore()
        fake.down = true
        val store = BudgetedObjectStore(fake, budget(1, rate = 10.0))
        repeat(5) { store.get("changes", "a") }
        val counts = store.counts()
        assertEquals(
            listOf(3L, 3L, 2L),
            listOf(counts.sent, counts.failed, counts.refused).map { it["get changes"] }
        )
        assertEquals(3, fake.calls)
    }

    private companion object {
        const val FLEET_RATE = 1500.0
        const val SECONDS = 40

        /** Shortest probe interval late in an outage: half of the maximum, due to jitter. */
        const val MIN_PROBE_INTERVAL_SECONDS = 2.5
    }
}
