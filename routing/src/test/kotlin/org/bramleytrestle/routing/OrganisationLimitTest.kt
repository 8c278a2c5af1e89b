package org.bramleytrestle.routing

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import kotlinx.coroutines.test.runTest
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.settings.SettingsState

/** Nodes on one virtual clock. Delays stay within the maximum; only messages can be lost. */
class OrganisationLimitTest {
    private val organisation = OrganisationId("lab")
    private val maxDelay = OrganisationLimiter.MAX_DELAY

    private fun limit(tokensPerSecond: Int) = settings(
        """{"defaults":{"tokensPerSecond":$tokensPerSecond,"homeNodes":2}}"""
    )

    private inner class Node(val id: InstanceId, clock: TestTimeSource) {
        /** The home nodes are the first members of the list. */
        val limiter = OrganisationLimiter(id, clock, { _, members -> members })
        val allocator = GrantAllocator(id, clock, { _, members -> members })
        var taken = 0L

        fun onView(view: View) {
            limiter.onView(view.members, view.settings)
            allocator.onView(view.members, view.settings)
        }
    }

    private data class View(val members: List<InstanceId>, val settings: SettingsState)

    private inner class Cluster(
        private val random: Random,
        private val loss: Double = 0.0,
        private val delay: () -> Duration = { random.nextInt(2000).milliseconds }
    ) {
        val clock = TestTimeSource()
        val nodes = List(5) { Node(InstanceId("n$it"), clock) }
        private val messages = ArrayList<Pair<ComparableTimeMark, () -> Unit>>()

        fun change(view: View) = nodes.forEach { send(0.0) { it.onView(view) } }

        fun rates() = nodes.sumOf { it.limiter.rate(organisation) }

        private fun send(loss: Double, message: () -> Unit) {
            val arrives = clock.markNow() + delay()
            if (random.nextDouble() >= loss) messages += arrives to message
        }

        fun step(demand: (Node) -> Int) {
            clock += 50.milliseconds
            val (due, later) = messages.partition { it.first <= clock.markNow() }
            messages.clear()
            messages += later
            due.sortedBy { it.first }.forEach { it.second() }
            for (node in nodes) {
                val tokens = demand(node)
                node.limiter.recordOffered(organisation, tokens)
                if (tokens > 0 && node.limiter.tryConsume(organisation, tokens)) {
                    node.taken += tokens
                }
                for (request in node.limiter.demandToSend()) {
                    val granter = nodes.first { it.id == request.to }
                    send(loss) { granter.allocator.demandReceived(node.id, request) }
                }
                for (grant in node.allocator.grantsToSend()) {
                    val to = nodes.first { it.id == grant.to }
                    send(loss) { to.limiter.grantReceived(grant) }
                }
            }
        }
    }

    /** Guards against nodes whose rates add up to more than the limit of an organisation. */
    @Test
    fun `the sum of all nodes never exceeds the limit across changes and lost messages`() =
        runTest {
            checkAll(PropTestConfig(seed = 5, iterations = 60), Arb.int()) { seed ->
                val random = Random(seed)
                val cluster = Cluster(random, loss = 0.2)
                val ids = cluster.nodes.map { it.id }
                val totals = ArrayDeque<Pair<ComparableTimeMark, Int>>()
                var members = ids
                repeat(1200) { tick ->
                    if (tick % 140 == 0) {
                        members = ids.shuffled(random).take(random.nextInt(2, 6))
                        val total = if (random.nextBoolean()) 1000 else random.nextInt(100, 4000)
                        totals += cluster.clock.markNow() to total
                        cluster.change(View(members, limit(total)))
                    }
                    cluster.step { random.nextInt(200) }
                    // A lower limit applies once the last grant under the old one has expired.
                    val old = cluster.clock.markNow() - maxDelay * 2 - 1.seconds
                    while (totals.size > 1 && totals[1].first < old) totals.removeFirst()
                    val highest = totals.maxOf { it.second }
                    assertTrue(
                        cluster.rates() <= highest * 1.000001,
                        "$seed: ${cluster.rates()} > $highest"
                    )
                }
            }
        }

    /** Guards against a limit that can't be used up through a node that is not a home node. */
    @Test
    fun `grants follow the demand to a node that is not a home node`() {
        val cluster = Cluster(Random(3), delay = { 50.milliseconds })
        cluster.change(View(cluster.nodes.map { it.id }, limit(1000)))
        repeat(200) { cluster.step { if (it.id.value == "n4") 20 else 0 } }
        val before = cluster.nodes[4].taken
        repeat(400) { cluster.step { if (it.id.value == "n4") 40 else 0 } }
        // The static half belongs to the home nodes; the bound allows for a burst and one debt.
        val taken = cluster.nodes[4].taken - before
        assertTrue(taken in 9000..10_600, "$taken tokens in 20 s")
        assertEquals(0.0, cluster.nodes[3].limiter.rate(organisation))
    }

    /** Guards against grants that stay in use after their granter has failed. */
    @Test
    fun `a grant expires by itself and a new granter waits`() {
        val clock = TestTimeSource()
        val node = Node(InstanceId("n1"), clock)
        val members = listOf(InstanceId("n0"), InstanceId("n2"), node.id)
        node.onView(View(members, limit(1000)))
        node.limiter.grantReceived(OrganisationGrant(node.id, organisation, 300.0, 1.seconds))
        clock += 999.milliseconds
        assertEquals(300.0, node.limiter.rate(organisation))
        clock += 1.milliseconds
        assertEquals(0.0, node.limiter.rate(organisation))
        clock += 10.seconds
        node.onView(View(listOf(node.id), limit(1000)))
        val demand = OrganisationDemand(node.id, organisation, 50.0)
        clock += maxDelay * 2 + 1.seconds - 1.milliseconds
        node.allocator.demandReceived(node.id, demand)
        assertEquals(emptyList(), node.allocator.grantsToSend())
        clock += 2.milliseconds
        node.allocator.demandReceived(node.id, demand)
        assertEquals(listOf(500.0), node.allocator.grantsToSend().map { it.tokensPerSecond })
    }
}
