package org.bramleytrestle.cluster

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.model.ModelName
import org.bramleytrestle.model.OrganisationId

class ReportExchangeTest {
    private fun started() = Simulation(3).also {
        it.addAll(3, 1)
        it.run(3_000)
    }

    private fun report(sequence: Long, running: Int = 1, takenAt: Long = sequence * 100) =
        LoadReport(
            InstanceId("server"),
            ModelName("drafter"),
            "1",
            LayerRange(0, 32),
            "h-80",
            running,
            2,
            64,
            300,
            400,
            true,
            takenAt,
            sequence
        )

    // Guards against fields lost in the compact encoding.
    @Test
    fun `reports arrive complete with and without the fields that rarely change`() {
        val simulation = started()
        val (first, second, third) = simulation.live
        val sent = List(3) { report(it + 1L, running = it) }
        for (report in sent) {
            first.core.shareReports(listOf(report))
            simulation.run(500)
        }
        assertEquals(sent, second.listener.reports.toList())
        assertEquals(sent, third.listener.reports.toList())
        assertTrue(first.listener.reports.isEmpty())
    }

    // Guards against an old report that replaces a newer one, and ignored reports after a restart.
    @Test
    fun `an older report is dropped unless the server restarted`() {
        val simulation = started()
        val (first, second, third) = simulation.live
        // With the link up, the third member would know that its report is old and not send it.
        simulation.isLinkDown = { a, b -> a === first && b === third }
        first.core.shareReports(listOf(report(5)))
        simulation.run(500)
        simulation.isLinkDown = { _, _ -> false }
        val before = third.sentFrames
        third.core.shareReports(listOf(report(4)))
        simulation.run(250)
        assertTrue(third.sentFrames >= before + 2)
        assertEquals(listOf(report(5)), second.listener.reports.toList())
        // Longer than the time after which the backup reporter takes over from the primary.
        simulation.run(3_000)
        val restarted = report(1, takenAt = 60_000)
        third.core.shareReports(listOf(restarted))
        simulation.run(500)
        assertEquals(restarted, second.listener.reports.last())
    }

    // Guards against reports that starve the traffic of settings and membership.
    @Test
    fun `reports stay within their byte budget and the newest one arrives`() {
        val simulation = started()
        val (first, second) = simulation.live
        val before = first.sentBytes
        for (sequence in 1L..50L) {
            val batch = List(200) { report(sequence).copy(instance = InstanceId("server-$it")) }
            first.core.shareReports(batch)
            simulation.run(200)
        }
        assertTrue(first.sentBytes - before < 10 * 8 * 1024 + 30_000, "${first.sentBytes - before}")
        simulation.run(20_000)
        assertEquals(50, second.listener.reports.last().sequence)
    }

    // Guards against both reporters sending, and against no reports if the first one stops.
    @Test
    fun `the second reporter of a server sends only if the first one does not`() {
        val simulation = started()
        val members = simulation.live.first().view.values
        val ids = reporters(members, DataCentre("dc-0"), InstanceId("server")).map { it.value }
        val (first, second) = ids.map { id -> simulation.live.first { it.id == id } }
        val third = simulation.live.first { it !== first && it !== second }
        for (sequence in 1L..6L) {
            if (sequence <= 3) first.core.shareReports(listOf(report(2 * sequence)))
            simulation.run(500)
            second.core.shareReports(listOf(report(2 * sequence + 1)))
            simulation.run(500)
        }
        // The first reporter stops after sequence 6; the second takes over within two seconds.
        val sequences = third.listener.reports.map { it.sequence }
        assertEquals(listOf(2L, 4L, 6L, 11L, 13L), sequences)
    }

    // Guards against demand and grants delivered to the wrong member.
    @Test
    fun `demand and grants reach only the member they are addressed to`() {
        val simulation = started()
        val (first, second, third) = simulation.live
        val organisation = OrganisationId("lab-a")
        first.core.sendDemand(InstanceId(second.id), listOf(LimitDemand(organisation, 5.0)))
        second.core.sendGrants(InstanceId(first.id), listOf(LimitGrant(organisation, 4.0, 1_000)))
        simulation.run(100)
        assertEquals(
            listOf(InstanceId(first.id) to LimitDemand(organisation, 5.0)),
            second.listener.demand.toList()
        )
        assertEquals(
            listOf(InstanceId(second.id) to LimitGrant(organisation, 4.0, 1_000)),
            first.listener.grants.toList()
        )
        assertTrue(third.listener.run { demand.isEmpty() && grants.isEmpty() })
    }
}
