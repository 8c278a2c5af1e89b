package org.bramleytrestle.backend

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.runBlocking
import org.bramleytrestle.backend.ScriptedServer.Companion.response
import org.bramleytrestle.model.ModelName
import org.bramleytrestle.model.RequestId
import org.bramleytrestle.standins.engine.EngineFaults

internal class HttpEngineControlTest {
    private val order = EngineOrder("o1", 7, OrderAction.SWITCH_VERSION, ModelName("drafter"), "2")

    private fun <T> control(test: suspend (EngineControl) -> T): T =
        Backends.http(BackendOptions()).use {
            runBlocking { test(it.control) }
        }

    @Test
    fun `the outcome of an order is unknown unless the response states it`() {
        val cases = listOf(
            response(200, "{}") to OrderOutcome.ACCEPTED,
            response(409, """{"error":"staleFencingNumber","highest":9}""") to
                OrderOutcome.STALE_FENCING_NUMBER,
            response(409, "{}") to OrderOutcome.UNKNOWN,
            response(500, "") to OrderOutcome.UNKNOWN,
            response(503, "", "Retry-After: 0") to OrderOutcome.UNKNOWN,
            null to OrderOutcome.UNKNOWN,
            "" to OrderOutcome.UNKNOWN
        )
        for ((script, outcome) in cases) {
            ScriptedServer { script }.use { server ->
                val started = TimeSource.Monotonic.markNow()
                val actual = control { it.order(server.address, order, 500.milliseconds) }
                assertEquals(outcome, actual, script)
                assertEquals(1, server.requests.size, script)
                assertTrue(started.elapsedNow() < 5.seconds)
            }
        }
    }

    @Test
    fun `responses of an engine are decoded and its failures are classified`() =
        EngineChain(hops = 1) { it.copy(cacheEventDelayMillis = 0) }.use { chain ->
            control { control ->
                val address = chain.hops[0].address
                val report = assertNotNull(control.report(address).get())
                assertEquals(chain.hops[0].layers, report.layers)
                assertEquals(emptyList(), control.cacheEvents(address, 0).get())
                assertEquals(OrderOutcome.ACCEPTED, control.order(address, order, 1.seconds))
                val stale = order.copy(orderId = "o2", fencingNumber = 6)
                assertEquals(
                    OrderOutcome.STALE_FENCING_NUMBER,
                    control.order(address, stale, 1.seconds)
                )
                control.cancel(address, RequestId("r/1 ?"), 1)
                assertEquals(1, chain.engines[0].counts.cancelled)
                control.setPriority(address, RequestId("r1"), 1, 5)
                chain.engines[0].faults(EngineFaults(freeze = true))
                assertEquals(HopFailure.SILENT, control.report(address).getError())
                chain.engines[0].kill()
                assertEquals(HopFailure.UNREACHABLE, control.report(address).getError())
            }
        }
}
