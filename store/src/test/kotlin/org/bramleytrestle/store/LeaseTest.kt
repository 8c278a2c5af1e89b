package org.bramleytrestle.store

import com.github.michaelbull.result.get
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import kotlinx.serialization.json.Json

class LeaseTest {
    private fun TestScope.lease(store: ObjectStore, holder: String) =
        LeaseManager(store, holder, 10.seconds, 2.seconds, testTimeSource).lease("m")

    // Guards against two holders that send orders at the same time after stale reads, lost
    // responses, slow calls or long pauses of a holder.
    @Test
    fun `only one holder may send orders at a time and fencing numbers never decrease`() = runTest {
        checkAll(40, PropTestConfig(seed = 11), Arb.long(), Arb.int(0..4)) { seed, staleWrites ->
            val random = Random(seed)
            val store = FakeObjectStore(random)
            store.maxStaleWrites = staleWrites
            store.responseLossProbability = 0.2
            var lastFencingNumber = 0L
            val until = currentTime + 300_000
            val orderEnds = mutableMapOf<Int, Long>()
            val jobs = List(3) { holder ->
                val lease = lease(store, "h$holder")
                launch {
                    while (currentTime < until) {
                        store.latency = random.nextLong(3000).milliseconds
                        lease.acquireOrRenew()
                        lease.ifHeld { fencingNumber ->
                            assertTrue(
                                orderEnds.none {
                                    it.key != holder && it.value > currentTime
                                }
                            )
                            assertTrue(fencingNumber >= lastFencingNumber)
                            lastFencingNumber = fencingNumber
                            orderEnds[holder] = currentTime + 2000
                        }
                        val pause = if (random.nextInt(20) == 0) 30_000L else 4_000L
                        delay(random.nextLong(pause))
                    }
                }
            }
            jobs.forEach { it.join() }
            assertTrue(lastFencingNumber > 1)
        }
    }

    // Guards against a second holder after the store has lost the record of the first one, or has
    // returned a record that names another holder, none, or an earlier run.
    @Test
    fun `only one holder may send orders at a time also when the store loses leases`() = runTest {
        checkAll(60, PropTestConfig(seed = 12), Arb.long()) { seed ->
            val random = Random(seed)
            val store = FakeObjectStore(random)
            store.responseLossProbability = 0.1
            var lastFencingNumber = 0L
            val until = currentTime + 300_000
            val orderEnds = mutableMapOf<Int, Long>()
            val holders = List(3) { index ->
                launch {
                    var run = 0
                    while (currentTime < until) {
                        val lease = LeaseManager(
                            store,
                            "h$index/${run++}",
                            10.seconds,
                            2.seconds,
                            testTimeSource
                        ) { it.startsWith("h$index/") }.lease("m")
                        repeat(random.nextInt(1, 20)) {
                            lease.acquireOrRenew()
                            lease.ifHeld { fencingNumber ->
                                val others = orderEnds.filter { it.key != index }
                                assertTrue(others.none { it.value > currentTime }, "seed $seed")
                                assertTrue(fencingNumber >= lastFencingNumber, "seed $seed")
                                lastFencingNumber = fencingNumber
                                orderEnds[index] = currentTime + 2000
                            }
                            delay(random.nextLong(3_000))
                            val orderEnded = (orderEnds[index] ?: 0) <= currentTime
                            if (orderEnded && random.nextInt(10) == 0) lease.release()
                        }
                        delay(random.nextLong(2_000))
                    }
                }
            }
            while (currentTime < until) {
                delay(random.nextLong(30_000))
                store.restore(lostWrites = random.nextInt(12))
            }
            holders.forEach { it.join() }
            assertTrue(lastFencingNumber > 1)
        }
    }

    // Guards against a gap in placement after each return of the store from an older copy.
    @Test
    fun `a holder whose record the store has lost keeps the lease`() = runTest {
        for (lostWrites in 1..4) {
            val store = FakeObjectStore()
            val other = lease(store, "other")
            other.acquireOrRenew()
            other.release()
            val lease = lease(store, "a")
            repeat(2) { assertTrue(lease.acquireOrRenew()) }
            store.restore(lostWrites)
            repeat(6) {
                delay(4.seconds)
                assertTrue(lease.acquireOrRenew(), "$lostWrites writes lost, renewal $it")
            }
        }
    }

    @Test
    fun `validity counts from before the request was sent`() = runTest {
        val store = FakeObjectStore()
        store.latency = 2.seconds
        val lease = lease(store, "a")
        assertTrue(lease.acquireOrRenew())
        assertEquals(8.seconds, lease.remaining)
    }

    @Test
    fun `a renewal that fails or whose response is lost does not extend the lease`() = runTest {
        val store = FakeObjectStore()
        val lease = lease(store, "a")
        lease.acquireOrRenew()
        delay(4.seconds)
        store.responseLossProbability = 1.0
        lease.acquireOrRenew()
        assertEquals(6.seconds, lease.remaining)
        store.down = true
        lease.acquireOrRenew()
        assertEquals(6.seconds, lease.remaining)
        delay(4.5.seconds)
        assertTrue(lease.remaining > Duration.ZERO)
        assertNull(lease.ifHeld { it }, "an order must end before the lease expires")
    }

    @Test
    fun `a new holder waits for the lease and order durations before unfenced orders`() = runTest {
        val store = FakeObjectStore()
        lease(store, "a").acquireOrRenew()
        val next = lease(store, "b")
        assertFalse(next.acquireOrRenew())
        delay(9.seconds)
        assertFalse(next.acquireOrRenew())
        delay(1.seconds)
        assertTrue(next.acquireOrRenew())
        assertEquals(2, next.ifHeld { it })
        repeat(3) {
            assertFalse(next.unfencedOrdersAllowed)
            delay(4.seconds)
            assertTrue(next.acquireOrRenew())
        }
        assertTrue(next.unfencedOrdersAllowed)
    }

    // Guards against several seconds without orders when the holder and the standby are replaced
    // one after the other.
    @Test
    fun `a standby process takes over one duration after the last renewal`() = runTest {
        val store = FakeObjectStore()
        lease(store, "a").acquireOrRenew()
        val next = lease(store, "b")
        next.observe()
        delay(9.seconds)
        assertFalse(next.acquireOrRenew())
        delay(1.seconds)
        assertTrue(next.acquireOrRenew())
    }

    // Guards against a fleet without placement until the lease expires, after all processes were
    // killed and restarted.
    @Test
    fun `a process immediately takes over only the lease of its own previous run`() = runTest {
        val store = FakeObjectStore()
        lease(store, "a/1").acquireOrRenew()
        fun run(holder: String, instance: String) =
            LeaseManager(store, holder, 10.seconds, 2.seconds, testTimeSource) {
                it.startsWith("$instance/")
            }.lease("m")
        assertFalse(run("b/1", "b").acquireOrRenew())
        val restarted = run("a/2", "a")
        assertTrue(restarted.acquireOrRenew())
        assertEquals(2, restarted.ifHeld { it })
    }

    // Guards against a lease that nobody ever renews or acquires again.
    @Test
    fun `a record that cannot be read counts as a holder that is not known`() = runTest {
        val odd = listOf("7", "[]", "{}", "null", """{"holder":3,"fencingNumber":"x"}""")
        for (text in odd) {
            val store = FakeObjectStore()
            val first = lease(store, "a")
            repeat(3) {
                first.acquireOrRenew()
                first.release()
            }
            first.acquireOrRenew()
            val last = checkNotNull(first.ifHeld { it })
            val next = lease(store, "b")
            val tasks = listOf(first, next).map { launch { it.maintain() } }
            delay(1.seconds)
            val record = store.get("leases", "m").get()!!
            store.update("leases", "m", Json.parseToJsonElement(text), record.version)
            var holders = 0
            var highest = 0L
            repeat(400) {
                delay(100.milliseconds)
                val held = listOf(first, next).mapNotNull { it.ifHeld { number -> number } }
                assertTrue(held.size <= 1, text)
                holders += held.size
                highest = maxOf(highest, held.firstOrNull() ?: 0)
            }
            assertTrue(holders > 100, "$text: held $holders times")
            assertTrue(highest > last, "$text: fencing number $highest after $last")
            tasks.forEach { it.cancel() }
        }
    }

    @Test
    fun `a released lease can be acquired immediately`() = runTest {
        val store = FakeObjectStore()
        val first = lease(store, "a")
        first.acquireOrRenew()
        first.release()
        assertNull(first.ifHeld { it })
        assertTrue(lease(store, "b").acquireOrRenew())
    }
}
