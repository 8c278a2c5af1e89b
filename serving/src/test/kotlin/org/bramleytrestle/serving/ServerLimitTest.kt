package org.bramleytrestle.serving

import kotlin.math.ln
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A server that takes a limited number of requests a second, and the nodes that send to it. */
class ServerLimitTest {
    private val clock = FakeClock()

    /**
     * @property limit requests a second that the server takes from all nodes together.
     * @property demand requests a second that all nodes have for it, by time.
     */
    private data class Case(
        val name: String,
        val nodes: Int,
        val limit: Double,
        val demand: (Duration) -> Double
    )

    private fun limited(requestsPerSecond: Double) = ServerAnnouncement(requestsPerSecond)

    private fun read(
        loads: ServerLoads,
        server: BackendServer,
        announcement: ServerAnnouncement,
        sentAt: Moment = clock.now()
    ) = loads.of(server).announced.read(announcement, "r", sentAt)

    /** Times of requests to the server since the start, in order. */
    private class Sends(val all: List<Duration>, val byToldNodes: List<Duration>) {
        /** Most requests in a window from nodes that had passed on the limit. */
        val most: Int
            get() {
                val counted = byToldNodes.filter { it >= STABLE_WINDOW }
                var first = 0
                return counted.indices.maxOf { last ->
                    while (counted[last] - counted[first] > WINDOW) first++
                    last - first + 1
                }
            }
    }

    private fun play(case: Case, seed: Int): Sends {
        val random = Random(seed)
        val start = clock.now()
        val server = plainServer("x")
        val nodes = List(case.nodes) {
            val loads = ServerLoads(clock::now, { 1.0 / case.nodes }, random = random)
            loads to ServerSelector("a", loads, clock::now, random).also {
                it.update(Fleet(listOf(server)))
            }
        }
        val sends = mutableListOf<Duration>()
        val byToldNodes = mutableListOf<Duration>()
        val toldAt = HashMap<ServerLoads, Duration>()
        val most = (0..SPAN.inWholeSeconds).maxOf { case.demand(it.seconds) }
        while (clock.now().since(start) < SPAN) {
            clock.advance((-ln(random.nextDouble()) / most).seconds)
            val at = clock.now().since(start)
            if (random.nextDouble() * most > case.demand(at)) continue
            val (loads, selector) = nodes.random(random)
            selector.takeServer("desk", emptySet()) ?: continue
            sends += at
            if (toldAt[loads]?.let { at - it >= TOLD_TIME } == true) byToldNodes += at
            toldAt.putIfAbsent(loads, at)
            read(loads, server, limited(case.limit))
        }
        return Sends(sends, byToldNodes)
    }

    private val cases = listOf(
        Case("few nodes, small limit", 7, 1.8) { 5.2 },
        Case("few nodes, middle limit", 7, 9.1) { 39.0 },
        Case("limit below the number of nodes", 9, 1.0) { 5.0 },
        Case("many nodes", 100, 10.0) { 400.0 },
        Case("load that comes at once", 100, 10.0) { if (it < 20.seconds) 3.0 else 400.0 },
        Case("load that comes and goes", 9, 2.0) { if (it.inWholeSeconds % 8 < 4) 0.5 else 40.0 },
        Case("large limit", 9, 200.0) { 900.0 }
    )

    /** Guards against a server in need that gets more than it has named, summed over the nodes. */
    @Test
    fun `a server gets no more than its limit from all nodes together`() {
        for (case in cases) {
            for (seed in 1..10) {
                val most = play(case, seed).most
                val allowed = case.limit * WINDOW.inWholeSeconds * TOLERANCE + ALLOWANCE
                assertTrue(most <= allowed, "${case.name}, seed $seed: $most, $allowed allowed")
            }
        }
    }

    @Test
    fun `most of what a limited server takes is used while there are requests for it`() {
        for (case in cases.filter { it.demand(10.seconds) == it.demand(30.seconds) }) {
            val used = play(case, 1).all.size / SPAN.inWholeSeconds.toDouble()
            assertTrue(used >= case.limit * 0.6, "${case.name}: $used of ${case.limit} a second")
        }
    }

    private companion object {
        /** The users' rule on limits: window, tolerated factor, and requests beyond it. */
        val WINDOW = 4.seconds
        const val TOLERANCE = 1.5
        const val ALLOWANCE = 5

        /** Time after a limit was named first from which on it must be kept. */
        val STABLE_WINDOW = 3.seconds

        /** Time after an answer with the limit from which on the node counts. */
        val TOLD_TIME = 500.milliseconds
        val SPAN = 60.seconds
    }
}
