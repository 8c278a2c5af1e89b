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

    /** Engines that load for [loadMillis] and more, with reports that arrive up to a second late. */
    private inner class Fleet(
        private val scope: TestScope,
        private val random: Random,
        size: Int,
        private val checks: Boolean,
        private val loadMillis: Long = 5_000,
        private val extraMillis: Long = 100_000
    ) {
        private inner class Engine(val id: String) {
            var held: Placement? = null
            var highest = 0L
            var sequence = 0L
            var visible: LoadReport? = null
            var load: Job? = null
        }

        private val engines = List(size) { Engine("e$it") }
        val instances = engines.map {
            Instance(InstanceId(it.id), InstanceRole.ENGINE, "", DataCentre("a"))
        }
        val reports get() = engines.mapNotNull { it.visible }
        val orderTimes = mutableListOf<Long>()
        val ordered = mutableListOf<String>()

        fun hold(index: Int, version: String) {
            engines[index].held = Placement(version, ranges[index % ranges.size])
        }

        fun placements() = engines.mapNotNull { it.held }

        fun chains(version: String) =
            ranges.minOf { range -> placements().count { it == Placement(version, range) } }

        fun reporting() = engines.map { engine ->
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
                    engine.visible = report
                    delay(500)
                }
            }
        }

        suspend fun order(order: ModelOrder): ModelOrderOutcome {
            val engine = engines.single { it.id == order.instance.id.value }
            if (checks && order.fencingNumber < engine.highest) {
                return ModelOrderOutcome.STALE_FENCING_NUMBER
            }
            engine.highest = maxOf(engine.highest, order.fencingNumber)
            orderTimes += scope.currentTime
            ordered += engine.id
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
        checks: Boolean,
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
            { checks },
            fleet::order,
            LoadLimiter(LOAD_INTERVAL, testTimeSource),
            maxLoads = 4,
            timeSource = testTimeSource
        )
    }

    // Guards against a lost layer range when controllers are paused past their lease, answers are
    // lost, reports lag and engines ignore fencing numbers.
    @Test
    fun `an upgrade never takes the last replica and always completes`() = runTest {
        checkAll(25, PropTestConfig(seed = 31), Arb.long(), Arb.boolean()) { seed, checks ->
            val random = Random(seed)
            val store = FakeObjectStore(random)
            store.staleStates = 2
            store.answersLost = 0.1
            val fleet = Fleet(this@runTest, random, 4, checks)
            repeat(4) { fleet.hold(it, "1") }
            val desired = DesiredModel("2", ranges, 2)
            val jobs = fleet.reporting() + List(3) { holder ->
                val (lease, controller) = controller(store, "h$holder", fleet, checks) { desired }
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
            while (currentTime < end && fleet.chains("2") < 2) {
                assertTrue(fleet.chains("1") + fleet.chains("2") > 0, "a layer range is lost")
                delay(100)
            }
            jobs.forEach { it.cancel() }
            assertEquals(2, fleet.chains("2"))
        }
    }

    // Guards against a full model load that is started at once on many engines, and against an
    // order after the pause of a holder.
    @Test
    fun `loads are spaced and a paused holder gives no order after waking`() = runTest {
        val store = FakeObjectStore()
        val fleet = Fleet(this, Random(1), 8, checks = true, loadMillis = 1000, extraMillis = 1)
        var wanted = DesiredModel("1", ranges, 2)
        val reporting = fleet.reporting()
        val (lease, controller) = controller(store, "a", fleet, true) { wanted }
        suspend fun steps(count: Int) = repeat(count) {
            lease.acquireOrRenew()
            controller.reconcile()
            delay(500.milliseconds)
        }
        steps(120)
        assertEquals(2, fleet.chains("1"))
        val gaps = fleet.orderTimes.zipWithNext { a, b -> b - a }
        assertTrue(gaps.all { it >= LOAD_INTERVAL.inWholeMilliseconds })
        val before = fleet.orderTimes.size
        wanted = wanted.copy(version = "2")
        delay(11.seconds)
        controller.reconcile()
        assertEquals(before, fleet.orderTimes.size)
        steps(240)
        assertEquals(2, fleet.chains("2"))
        reporting.forEach { it.cancel() }
    }

    // Guards against orders while those of an earlier holder can still take effect on engines that
    // ignore fencing numbers, and against a needless wait for empty engines that check them.
    @Test
    fun `a new holder waits unless the engines check fencing numbers`() = runTest {
        for (checks in listOf(true, false)) {
            val store = FakeObjectStore()
            val fleet = Fleet(this, Random(1), 2, checks)
            val reporting = fleet.reporting()
            val (first) = controller(store, "a", fleet, checks) { DesiredModel("1", ranges) }
            val (next, controller) =
                controller(store, "b", fleet, checks) { DesiredModel("1", ranges) }
            first.acquireOrRenew()
            var taken: Long? = null
            while (fleet.orderTimes.isEmpty()) {
                if (next.acquireOrRenew() && taken == null) taken = currentTime
                controller.reconcile()
                delay(500.milliseconds)
            }
            val waited = fleet.orderTimes.first() - checkNotNull(taken)
            assertTrue(if (checks) waited < 8_000 else waited >= 12_000, "waited $waited ms")
            reporting.forEach { it.cancel() }
        }
    }

    // Guards against a new holder that takes an engine for ready because it still reports the
    // replica that the earlier holder has ordered it to give up.
    @Test
    fun `a new holder knows the open orders of the earlier one`() = runTest {
        val store = FakeObjectStore()
        val fleet = Fleet(this, Random(1), 4, checks = false, loadMillis = 60_000)
        repeat(4) { fleet.hold(it, "1") }
        val reporting = fleet.reporting()
        for (holder in listOf("a", "b")) {
            val (lease, controller) =
                controller(store, holder, fleet, false) { DesiredModel("2", ranges, 2) }
            val before = fleet.ordered.size
            while (fleet.ordered.size == before) {
                lease.acquireOrRenew()
                controller.reconcile()
                delay(500.milliseconds)
            }
        }
        assertEquals(1, fleet.ordered.count { it == "e0" }, "${fleet.ordered}")
        reporting.forEach { it.cancel() }
    }

    @Test
    fun `a single replica of each range is never taken`() = runTest {
        val fleet = Fleet(this, Random(1), 2, checks = true)
        repeat(2) { fleet.hold(it, "1") }
        val reporting = fleet.reporting()
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
