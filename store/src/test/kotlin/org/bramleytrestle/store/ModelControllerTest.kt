package org.bramleytrestle.store

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.InstanceRole
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.model.ModelName

class ModelControllerTest {
    private val model = ModelName("m")
    private val ranges = listOf(LayerRange(0, 4), LayerRange(4, 8))

    /**
     * Simulated engines. A load takes [loadMillis] plus a random time of up to [extraMillis];
     * reports arrive with a delay of up to one second.
     */
    private inner class Fleet(
        private val scope: TestScope,
        private val random: Random,
        size: Int,
        private val checksFencing: Boolean,
        private val loadMillis: Long = 5_000,
        private val extraMillis: Long = 100_000
    ) {
        private inner class Engine(val id: String) {
            var held: Placement? = null
            var highestFencingNumber = 0L
            var sequence = 0L
            var delivered: LoadReport? = null
            var load: Job? = null
        }

        private val engines = List(size) { Engine("e$it") }
        val instances = engines.map {
            Instance(InstanceId(it.id), InstanceRole.ENGINE, "", DataCentre("a"))
        }
        val reports get() = engines.mapNotNull { it.delivered }
        val orderTimes = mutableListOf<Long>()
        val orderedEngines = mutableListOf<String>()

        fun setHeld(index: Int, version: String) {
            engines[index].held = Placement(version, ranges[index % ranges.size])
        }

        fun heldPlacements() = engines.mapNotNull { it.held }

        fun completeChains(version: String) =
            ranges.minOf { range -> heldPlacements().count { it == Placement(version, range) } }

        fun startReporting() = engines.map { engine ->
            scope.launch {
                while (true) {
                    val report = LoadReport(
                        InstanceId(engine.id),
                        model,
                        engine.held?.version,
                        engine.held?.layers,
                        sequence = ++engine.sequence
                    )
                    delay(random.nextLong(1000))
                    engine.delivered = report
                    delay(500)
                }
            }
        }

        suspend fun order(order: ModelOrder): ModelOrderOutcome {
            val engine = engines.single { it.id == order.instance.id.value }
            if (checksFencing && order.fencingNumber < engine.highestFencingNumber) {
                return ModelOrderOutcome.STALE_FENCING_NUMBER
            }
            engine.highestFencingNumber = maxOf(engine.highestFencingNumber, order.fencingNumber)
            orderTimes += scope.currentTime
            orderedEngines += engine.id
            engine.load?.cancel()
            engine.load = scope.launch {
                delay(loadMillis + random.nextLong(extraMillis))
                engine.held = Placement(order.version, order.layers)
            }
            delay(random.nextLong(500))
            return if (random.nextInt(5) == 0) {
                ModelOrderOutcome.UNKNOWN
            } else {
                ModelOrderOutcome.ACCEPTED
            }
        }
    }

    private fun TestScope.controller(
        store: ObjectStore,
        holder: String,
        fleet: Fleet,
        checksFencing: Boolean,
        desired: () -> DesiredModel
    ): Pair<Lease, ModelController> {
        val lease = LeaseManager(store, holder, 10.seconds, 2.seconds, testTimeSource).lease("m")
        return lease to ModelController(
            store,
            model,
            lease,
            desired,
            { fleet.instances },
            { fleet.reports },
            { checksFencing },
            fleet::order,
            LoadLimiter(LOAD_INTERVAL, testTimeSource),
            maxLoads = 4,
            timeSource = testTimeSource
        )
    }

    // Guards against a layer range without a replica when controllers are paused beyond the expiry
    // of their lease, responses are lost, reports are delayed and engines ignore fencing numbers.
    @Test
    fun `an upgrade never reassigns the last replica and always completes`() = runTest {
        checkAll(25, PropTestConfig(seed = 31), Arb.long(), Arb.boolean()) { seed, checksFencing ->
            val random = Random(seed)
            val store = FakeObjectStore(random)
            store.maxStaleWrites = 2
            store.responseLossProbability = 0.1
            val fleet = Fleet(this@runTest, random, 4, checksFencing)
            repeat(4) { fleet.setHeld(it, "1") }
            val desired = DesiredModel("2", ranges, 2)
            val jobs = fleet.startReporting() + List(3) { holder ->
                val (lease, controller) = controller(store, "h$holder", fleet, checksFencing) {
                    desired
                }
                launch {
                    while (true) {
                        lease.acquireOrRenew()
                        repeat(4) {
                            controller.reconcile()
                            delay(500.milliseconds)
                        }
                        if (random.nextInt(20) == 0) delay(15.seconds)
                    }
                }
            }
            val end = currentTime + 3_600_000
            while (currentTime < end && fleet.completeChains("2") < 2) {
                assertTrue(
                    fleet.completeChains("1") + fleet.completeChains("2") > 0,
                    "a layer range has no replica"
                )
                delay(100)
            }
            jobs.forEach { it.cancel() }
            assertEquals(2, fleet.completeChains("2"))
        }
    }

    // Guards against loads that start on many engines at the same time, and against orders of a
    // holder that was paused beyond the expiry of its lease.
    @Test
    fun `loads are rate-limited and a paused holder sends no order after it resumes`() = runTest {
        val store = FakeObjectStore()
        val fleet =
            Fleet(this, Random(1), 8, checksFencing = true, loadMillis = 1000, extraMillis = 1)
        var wanted = DesiredModel("1", ranges, 2)
        val reporting = fleet.startReporting()
        val (lease, controller) = controller(store, "a", fleet, true) { wanted }
        suspend fun steps(count: Int) = repeat(count) {
            lease.acquireOrRenew()
            controller.reconcile()
            delay(500.milliseconds)
        }
        steps(120)
        assertEquals(2, fleet.completeChains("1"))
        val gaps = fleet.orderTimes.zipWithNext { a, b -> b - a }
        assertTrue(gaps.all { it >= LOAD_INTERVAL.inWholeMilliseconds })
        val before = fleet.orderTimes.size
        wanted = wanted.copy(version = "2")
        delay(11.seconds)
        controller.reconcile()
        assertEquals(before, fleet.orderTimes.size)
        steps(240)
        assertEquals(2, fleet.completeChains("2"))
        reporting.forEach { it.cancel() }
    }

    // Guards against orders to engines that ignore fencing numbers while orders of an earlier
    // holder can still take effect, and against an unnecessary wait for empty engines that check
    // fencing numbers.
    @Test
    fun `a new holder waits unless the engines check fencing numbers`() = runTest {
        for (checksFencing in listOf(true, false)) {
            val store = FakeObjectStore()
            val fleet = Fleet(this, Random(1), 2, checksFencing)
            val reporting = fleet.startReporting()
            val (first) = controller(store, "a", fleet, checksFencing) { DesiredModel("1", ranges) }
            val (next, controller) =
                controller(store, "b", fleet, checksFencing) { DesiredModel("1", ranges) }
            first.acquireOrRenew()
            var acquiredAt: Long? = null
            while (fleet.orderTimes.isEmpty()) {
                if (next.acquireOrRenew() && acquiredAt == null) acquiredAt = currentTime
                controller.reconcile()
                delay(500.milliseconds)
            }
            val waited = fleet.orderTimes.first() - checkNotNull(acquiredAt)
            assertTrue(if (checksFencing) waited < 8_000 else waited >= 12_000, "waited $waited ms")
            reporting.forEach { it.cancel() }
        }
    }

    // Guards against a new holder that considers an engine ready because the engine still reports
    // the replica that the previous holder has ordered it to replace.
    @Test
    fun `a new holder takes over the open orders of the previous one`() = runTest {
        val store = FakeObjectStore()
        val fleet = Fleet(this, Random(1), 4, checksFencing = false, loadMillis = 60_000)
        repeat(4) { fleet.setHeld(it, "1") }
        val reporting = fleet.startReporting()
        for (holder in listOf("a", "b")) {
            val (lease, controller) =
                controller(store, holder, fleet, false) { DesiredModel("2", ranges, 2) }
            val before = fleet.orderedEngines.size
            while (fleet.orderedEngines.size == before) {
                lease.acquireOrRenew()
                controller.reconcile()
                delay(500.milliseconds)
            }
        }
        assertEquals(1, fleet.orderedEngines.count { it == "e0" }, "${fleet.orderedEngines}")
        reporting.forEach { it.cancel() }
    }

    @Test
    fun `the only replica of a range is never reassigned`() = runTest {
        val fleet = Fleet(this, Random(1), 2, checksFencing = true)
        repeat(2) { fleet.setHeld(it, "1") }
        val reporting = fleet.startReporting()
        val desired = DesiredModel("2", ranges)
        val (lease, controller) = controller(FakeObjectStore(), "a", fleet, true) { desired }
        repeat(120) {
            lease.acquireOrRenew()
            controller.reconcile()
            delay(500.milliseconds)
        }
        assertEquals(emptyList(), fleet.orderTimes)
        reporting.forEach { it.cancel() }
    }

    private companion object {
        val LOAD_INTERVAL = 3.seconds
    }
}
