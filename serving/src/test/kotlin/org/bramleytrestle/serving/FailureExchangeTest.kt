package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LayerRange

class FailureExchangeTest {
    private val clock = FakeClock()
    private val own = mutableListOf<FailedServer>()
    private val avoided = mutableListOf<String>()
    private val exchange = FailureExchange(
        InstanceId("reader"),
        { own },
        { failed -> avoided += failed.map { it.id } },
        clock::now
    )

    private fun report(node: String, vararg servers: String, bornMillis: Long = 1) =
        exchange.record(InstanceId(node), servers.map { FailedServer(it, bornMillis) })

    @Test
    fun `a failure that one node alone observes avoids nothing, as that node may be cut off`() {
        repeat(5) { report("slow", "s1", "s2", "s3") }
        assertEquals(emptyList(), exchange.agreed())
        assertEquals(emptyList(), avoided)
    }

    @Test
    fun `a failure that two nodes observe counts for all, with the age of the second report`() {
        report("n1", "s1")
        clock.advance(300.milliseconds)
        report("n2", "s1", "s2")
        assertEquals(listOf(FailedServer("s1", 1, 300)), exchange.agreed())
        assertEquals(listOf("s1"), avoided)
    }

    @Test
    fun `the reader's own observation counts like that of another node`() {
        own += FailedServer("s1", 1)
        report("n1", "s1")
        assertEquals(listOf("s1"), avoided)
    }

    @Test
    fun `failures of different starts of a server are not added up`() {
        report("n1", "s1", bornMillis = 1)
        report("n2", "s1", bornMillis = 2)
        assertEquals(emptyList(), exchange.agreed())
    }

    @Test
    fun `old reports expire, so that a server that was cut off for a moment is used again`() {
        report("n1", "s1")
        report("n2", "s1")
        clock.advance(2_100.milliseconds)
        assertEquals(emptyList(), exchange.agreed())
    }

    @Test
    fun `a node avoids chains through a reported server until it has started again`() {
        val service = BackendService("model", model)
        val servers = listOf(
            modelServer("x1", "a", "large", LayerRange(0, 40)),
            modelServer("x2", "a", "large", LayerRange(40, 80)),
            modelServer("y1", "a", "large", LayerRange(0, 40)),
            modelServer("y2", "a", "large", LayerRange(40, 80))
        )
        val selector = ServerSelector("a", ServerLoads(clock::now), clock::now)
        selector.update(Fleet(servers))
        selector.avoidReported(listOf(FailedServer("x2", 0, 100)))
        repeat(20) {
            val chain = selector.chain(service, emptySet())!!.chain
            assertTrue(chain.stages.none { it.server.id == "x2" }, chain.label)
        }
        selector.update(Fleet(servers.map { if (it.id == "x2") it.copy(bornMillis = 5) else it }))
        val used = (1..50).flatMap { selector.chain(service, emptySet())!!.chain.stages }
        assertTrue(used.any { it.server.id == "x2" })
        selector.avoidReported(listOf(FailedServer("x2", 0, 100)))
        assertEquals(false, selector.load(selector.fleet.byId.getValue("x2")).avoided)
        clock.advance(3.seconds)
    }

    @Test
    fun `a node reports the servers that it could not reach`() {
        val server = modelServer("x1", "a", "large", LayerRange(0, 80)).copy(bornMillis = 7)
        val selector = ServerSelector("a", ServerLoads(clock::now), clock::now)
        selector.update(Fleet(listOf(server)))
        selector.serverFailed(server)
        clock.advance(500.milliseconds)
        assertEquals(listOf(FailedServer("x1", 7, 500)), selector.observedFailures())
        clock.advance(2.seconds)
        assertEquals(emptyList(), selector.observedFailures())
    }
}
