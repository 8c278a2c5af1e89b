package org.bramleytrestle.routing

import kotlin.test.Test
import kotlin.test.assertEquals
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.model.ModelName

class ServerLimitsTest {
    /** Guards against engines that idle while the attempts in their slots are at other hops. */
    @Test
    fun `a server gets as many attempts per slot as its model has ranges of its size`() {
        val cases = listOf(
            LayerRange(0, 12) to 4,
            LayerRange(0, 6) to 8,
            LayerRange(4, 8) to 12,
            LayerRange(0, 5) to 12,
            null to 4
        )
        for ((layers, expected) in cases) {
            val id = InstanceId("s0")
            val planner = FakePlanner(servers(1), 4, """{"models":{"$MODEL":{"layers":12}}}""")
            val report = LoadReport(id, model = ModelName(MODEL), layers = layers, slots = 4)
            planner.publish(planner.snapshot.copy(reports = mapOf(id to report)))
            assertEquals(expected, ServerLimits(planner).of(id).limit, "$layers")
        }
    }
}
