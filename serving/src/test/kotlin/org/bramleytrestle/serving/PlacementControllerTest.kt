package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bramleytrestle.model.LayerRange

class PlacementControllerTest {
    private class RecordedOrders(var outcome: PlacementOutcome) : PlacementOrders {
        val placed = mutableListOf<Triple<String, LayerRange, Long?>>()

        override fun place(
            server: BackendServer,
            layers: LayerRange,
            expectedOrders: Long?
        ): PlacementOutcome {
            placed += Triple(server.id, layers, expectedOrders)
            return outcome
        }

        override fun ordersBegun(server: BackendServer): Long = 0
    }

    private val clock = FakeClock()
    private val orders = RecordedOrders(PlacementOutcome.BEGUN)
    private var holdsLease = true
    private val controller = PlacementController(orders, { holdsLease }, clock::now)
    private val config =
        RoutingConfig(1, 1, emptyList(), listOf(BackendService("model", model)), emptyList())

    private fun step(servers: List<BackendServer>) = controller.step(Fleet(servers), config)

    @Test
    fun `servers that register one after another are placed together`() {
        step(centre("a").take(5))
        clock.advance(1.seconds)
        step(centre("a"))
        assertEquals(0, orders.placed.size)
        clock.advance(2.seconds)
        step(centre("a"))
        val covered = orders.placed.flatMap { it.second.from until it.second.until }.toSet()
        assertEquals((0 until model.layers).toSet(), covered)
        assertEquals(centre("a").size, orders.placed.distinctBy { it.first }.size)
        assertEquals(centre("a").size, orders.placed.size)
    }

    /** Guards against layers that nobody holds because an odd entry claims all of them. */
    @Test
    fun `a server that claims layers which it cannot hold changes no order`() {
        fun placedFor(fleet: Fleet): Set<Pair<String, LayerRange>> {
            orders.placed.clear()
            val controller = PlacementController(orders, { holdsLease }, clock::now)
            repeat(2) {
                controller.step(fleet, config)
                clock.advance(2.seconds)
            }
            return orders.placed.map { it.first to it.second }.toSet()
        }
        val plan = LayerPlanner(model).plan(centre("a").map(::placed)).layers
        val servers = centre("a").map { it.copy(held = plan[it.id]) }
        // Each of the lost servers leaves layers that no other one holds.
        val lost = servers.filter { placedFor(Fleet(servers - it)).isNotEmpty() }
        assertTrue(lost.isNotEmpty())
        for (until in listOf(model.layers, model.layers + 1, Int.MAX_VALUE)) {
            val odd = modelServer("odd", "a", "large", LayerRange(0, until))
            for (rest in lost.map { servers - it }) {
                assertEquals(placedFor(Fleet(rest)), placedFor(Fleet(rest + odd)), "$until layers")
            }
        }
    }

    /** Guards against servers without layers because an order to another one cannot be sent. */
    @Test
    fun `an order that cannot be sent holds up no other order`() {
        for (failure in listOf(IllegalArgumentException("URL"), StackOverflowError())) {
            orders.placed.clear()
            val failing = object : PlacementOrders by orders {
                override fun place(
                    server: BackendServer,
                    layers: LayerRange,
                    expectedOrders: Long?
                ) = if (server.id == "a-middle-1") {
                    throw failure
                } else {
                    orders.place(server, layers, expectedOrders)
                }
            }
            val controller = PlacementController(failing, { holdsLease }, clock::now)
            repeat(2) {
                controller.step(Fleet(centre("a")), config)
                clock.advance(2.seconds)
            }
            val others = centre("a").map { it.id } - "a-middle-1"
            assertEquals(others.toSet(), orders.placed.map { it.first }.toSet(), "$failure")
        }
    }

    /** Guards against orders to a server that wants nothing for a time. */
    @Test
    fun `a server that holds requests back gets its order afterwards`() {
        var waiting = true
        val patient = PlacementController(
            orders,
            { holdsLease },
            clock::now,
            accepts = { it.id != "a-middle-1" || !waiting }
        )
        val fleet = Fleet(centre("a"))
        patient.step(fleet, config)
        clock.advance(2.seconds)
        patient.step(fleet, config)
        val others = centre("a").map { it.id } - "a-middle-1"
        assertEquals(others.toSet(), orders.placed.map { it.first }.toSet())
        waiting = false
        patient.step(fleet, config)
        assertEquals("a-middle-1", orders.placed.last().first)
    }

    @Test
    fun `servers that come and go do not delay the repair of the others`() {
        val plan = LayerPlanner(model).plan(centre("a").map(::placed)).layers
        val servers = centre("a").map { it.copy(held = plan[it.id]) }
        step(servers)
        val restarted = servers.map {
            if (it.id == "a-middle-1") it.copy(held = null, bornMillis = 1) else it
        }
        for (round in 1..3) {
            clock.advance(100.milliseconds)
            step(restarted + modelServer("visitor-$round", "b", "tiny"))
        }
        assertTrue(orders.placed.any { it.first == "a-middle-1" }, "${orders.placed}")
    }

    @Test
    fun `two services with models do not reset each other's observation`() {
        val both = RoutingConfig(
            1,
            1,
            emptyList(),
            listOf(BackendService("model", model), BackendService("second", model)),
            emptyList()
        )
        val servers = centre("a") + centre("b").map { it.copy(service = "second") }
        repeat(2) {
            controller.step(Fleet(servers), both)
            clock.advance(2.seconds)
        }
        assertEquals(servers.map { it.id }.toSet(), orders.placed.map { it.first }.toSet())
    }

    @Test
    fun `a lease that ends while a report is read allows no order`() {
        val slow = object : PlacementOrders {
            override fun place(
                server: BackendServer,
                layers: LayerRange,
                expectedOrders: Long?
            ): PlacementOutcome = error("order without a lease")

            override fun ordersBegun(server: BackendServer): Long {
                holdsLease = false
                return 0
            }
        }
        val moved = centre("a").map { it.copy(held = LayerRange(0, 1)) }
        PlacementController(slow, { holdsLease }, clock::now).step(Fleet(moved), config)
    }

    @Test
    fun `no order is sent without the lease`() {
        holdsLease = false
        repeat(3) {
            step(centre("a"))
            clock.advance(2.seconds)
        }
        assertEquals(0, orders.placed.size)
    }

    @Test
    fun `an order is not repeated while its load runs, and states the orders begun before it`() {
        repeat(3) {
            step(centre("a"))
            clock.advance(2.seconds)
        }
        assertEquals(orders.placed.distinctBy { it.first }.size, orders.placed.size)
        assertTrue(orders.placed.all { it.third == 0L })
    }

    @Test
    fun `an order without an answer is sent again`() {
        orders.outcome = PlacementOutcome.UNKNOWN
        repeat(4) {
            step(centre("a"))
            clock.advance(2.seconds)
        }
        val perServer = orders.placed.groupBy { it.first }.values.map { it.size }
        assertTrue(perServer.all { it >= 2 }, "$perServer")
    }

    @Test
    fun `a new lease holder does not move layers that servers already hold`() {
        val plan = LayerPlanner(model).plan(centre("a").map(::placed)).layers
        val servers = centre("a").map { it.copy(held = plan[it.id]) }
        repeat(3) {
            step(servers)
            clock.advance(2.seconds)
        }
        assertEquals(emptyList(), orders.placed)
    }

    @Test
    fun `a lost server that may return does not make the others drop their layers`() {
        val fleet = (1..2).map { modelServer("l$it", "a", "large") } + centre("a").takeLast(9)
        val plan = LayerPlanner(model).plan(fleet.map(::placed)).layers
        val servers = fleet.map { it.copy(held = plan[it.id]) }
        val rest = servers.filter { it.id != "l1" }
        repeat(3) {
            step(rest)
            clock.advance(1.seconds)
        }
        for ((id, layers) in orders.placed) {
            val held = rest.single { it.id == id }.held ?: continue
            assertTrue(layers.from <= held.from && layers.until >= held.until, id)
        }
    }
}
