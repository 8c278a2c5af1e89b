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
    private val registry = ServerRegistry(clock).apply { replaceList(listOf(instance)) }
    private var sequence = 0L

    private fun report(leaving: Boolean = false) = registry.recordReport(
        LoadReport(id, leaving = leaving, sequence = ++sequence, takenAtMillis = sequence)
    )

    private val usable: Boolean get() = id in registry.usableServers()

    @Test
    fun `any single leave notification makes a server unusable`() {
        val notifications = listOf<Pair<String, ServerRegistry.() -> Unit>>(
            "list" to { replaceList(listOf(instance.copy(leaving = true))) },
            "report" to { recordReport(LoadReport(id, leaving = true, sequence = 1)) },
            "refusal" to { recordFailure(id, HopFailure.LEAVING) },
            "operator" to { markLeaving(id) }
        )
        for ((name, notify) in notifications) {
            val newRegistry = ServerRegistry(clock).apply { replaceList(listOf(instance)) }
            newRegistry.notify()
            assertFalse(id in newRegistry.usableServers(), name)
        }
    }

    @Test
    fun `a lagging report or a stale list does not make a leaving server usable again`() {
        registry.markLeaving(id)
        clock += 1.seconds
        report(leaving = false)
        assertFalse(usable)
        registry.replaceList(emptyList())
        registry.replaceList(listOf(instance))
        assertFalse(usable)
    }

    @Test
    fun `a failed server is unusable until a later report shows that it responds`() {
        report()
        registry.recordFailure(id, HopFailure.BROKEN)
        clock += 0.4.seconds
        report()
        assertFalse(usable)
        clock += 0.4.seconds
        report()
        assertTrue(usable)
    }

    @Test
    fun `a refusal due to full capacity does not mark a server as failed`() {
        registry.recordFailure(id, HopFailure.FULL)
        assertTrue(usable)
    }

    @Test
    fun `an older report does not replace a newer one`() {
        registry.recordReport(LoadReport(id, running = 5, sequence = 9, takenAtMillis = 9))
        registry.recordReport(LoadReport(id, running = 1, sequence = 3, takenAtMillis = 3))
        assertEquals(5, registry.reports().getValue(id).running)
    }

    @Test
    fun `observations of servers that left the list expire`() {
        registry.recordFailure(id, HopFailure.BROKEN)
        clock += 11.minutes
        registry.replaceList(emptyList())
        registry.replaceList(listOf(instance))
        assertTrue(usable)
    }
}
