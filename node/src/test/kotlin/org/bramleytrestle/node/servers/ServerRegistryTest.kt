package org.bramleytrestle.node.servers

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.bramleytrestle.backend.HopFailure
import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.InstanceRole
import org.bramleytrestle.model.LoadReport

class ServerRegistryTest {
    private val id = InstanceId("e1")
    private val instance = Instance(id, InstanceRole.ENGINE, "http://e1", DataCentre("dc1"))
    private val clock = TestTimeSource()
    private val registry = ServerRegistry(clock).apply { list(listOf(instance)) }
    private var sequence = 0L

    private fun report(leaving: Boolean = false) = registry.report(
        LoadReport(id, leaving = leaving, sequence = ++sequence, takenAtMillis = sequence)
    )

    private val usable: Boolean get() = id in registry.usable()

    @Test
    fun `each sign of leaving alone takes a server out of use`() {
        val signs = listOf<Pair<String, ServerRegistry.() -> Unit>>(
            "list" to { list(listOf(instance.copy(leaving = true))) },
            "report" to { report(LoadReport(id, leaving = true, sequence = 1)) },
            "refusal" to { failed(id, HopFailure.LEAVING) },
            "operator" to { leaving(id) }
        )
        for ((name, sign) in signs) {
            val fresh = ServerRegistry(clock).apply { list(listOf(instance)) }
            fresh.sign()
            assertFalse(id in fresh.usable(), name)
        }
    }

    @Test
    fun `a lagging report or a stale list does not bring a leaving server back`() {
        registry.leaving(id)
        clock += 1.seconds
        report(leaving = false)
        assertFalse(usable)
        registry.list(emptyList())
        registry.list(listOf(instance))
        assertFalse(usable)
    }

    @Test
    fun `a server that failed rests until a later report shows that it answers`() {
        report()
        registry.failed(id, HopFailure.BROKEN)
        clock += 0.4.seconds
        report()
        assertFalse(usable)
        clock += 0.4.seconds
        report()
        assertTrue(usable)
    }

    @Test
    fun `a refusal for lack of room says nothing about a server's health`() {
        registry.failed(id, HopFailure.FULL)
        assertTrue(usable)
    }

    @Test
    fun `an older report does not replace a newer one`() {
        registry.report(LoadReport(id, running = 5, sequence = 9, takenAtMillis = 9))
        registry.report(LoadReport(id, running = 1, sequence = 3, takenAtMillis = 3))
        assertEquals(5, registry.reports().getValue(id).running)
    }

    @Test
    fun `signs of servers that left the list are forgotten in the end`() {
        registry.failed(id, HopFailure.BROKEN)
        clock += 11.minutes
        registry.list(emptyList())
        registry.list(listOf(instance))
        assertTrue(usable)
    }
}
