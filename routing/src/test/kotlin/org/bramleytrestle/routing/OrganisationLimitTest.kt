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

/** Several nodes on one virtual clock; messages and views are delayed up to the bound or lost. */
class OrganisationLimitTest {
    private val organisation = OrganisationId("lab")
    private val maxDelay = OrganisationLimiter.MAX_DELAY

    private fun limit(tokensPerSecond: Int) = settings(
        """{"defaults":{"tokensPerSecond":$tokensPerSecond,"homeNodes":2}}"""
    )

    private inner class Node(val id: InstanceId, clock: TestTimeSource) {
        /** Members are preferred in their order here. */
        val limiter = OrganisationLimiter(id, clock, { _, members -> members })
        val allocator = GrantAllocator(id, clock, { _, members -> members })
        var taken = 0L

        fun onView(view: View) {
            limiter.onView(view.members, view.settings)
            allocator.onView(view.members, view.settings)
        }
    }

    private data class View(val members: List<InstanceId>, val settings: SettingsState)

    private inner class Nodes(
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
                for (wish in node.limiter.demandToSend()) {
                    val granter = nodes.first { it.id == wish.to }
                    send(loss) { granter.allocator.demandReceived(node.id, wish) }
                }
                for (grant in node.allocator.grantsToSend()) {
                    val to = nodes.first { it.id == grant.to }
                    send(loss) { to.limiter.grantReceived(grant) }
                }
            }
        }
    }

    /** Guards against nodes that together use more than an organisation may have. */
    @Test
    fun `the sum of all nodes never exceeds the limit across changes and lost messages`() =
        runTest {
            checkAll(PropTestConfig(seed = 5, iterations = 60), Arb.int()) { seed ->
                val random = Random(seed)
                val fleet = Nodes(random, loss = 0.2)
                val ids = fleet.nodes.map { it.id }
                val totals = ArrayDeque<Pair<ComparableTimeMark, Int>>()
                var members = ids
                repeat(1200) { tick ->
                    if (tick % 140 == 0) {
                        members = ids.shuffled(random).take(random.nextInt(2, 6))
                        val total = if (random.nextBoolean()) 1000 else random.nextInt(100, 4000)
                        totals += fleet.clock.markNow() to total
                        fleet.change(View(members, limit(total)))
                    }
                    fleet.step { random.nextInt(200) }
                    // A lower limit is in force when the last grant of the old one has ended.
                    val old = fleet.clock.markNow() - maxDelay * 2 - 1.seconds
                    while (totals.size > 1 && totals[1].first < old) totals.removeFirst()
                    val most = totals.maxOf { it.second }
                    assertTrue(fleet.rates() <= most * 1.000001, "$seed: ${fleet.rates()} > $most")
                }
            }
        }

    /** Guards against a limit that a busy organisation cannot use, home node or not. */
    @Test
    fun `grants follow the demand to a node that is not a home node`() {
        val fleet = Nodes(Random(3), delay = { 50.milliseconds })
        fleet.change(View(fleet.nodes.map { it.id }, limit(1000)))
        repeat(200) { fleet.step { if (it.id.value == "n4") 20 else 0 } }
        val before = fleet.nodes[4].taken
        repeat(400) { fleet.step { if (it.id.value == "n4") 40 else 0 } }
        // The static half belongs to the home nodes; a burst and one take may come on top.
        val taken = fleet.nodes[4].taken - before
        assertTrue(taken in 9000..10_600, "$taken tokens in 20 s")
        assertEquals(0.0, fleet.nodes[3].limiter.rate(organisation))
    }

    /** Guards against grants that outlive a granter that is gone. */
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
