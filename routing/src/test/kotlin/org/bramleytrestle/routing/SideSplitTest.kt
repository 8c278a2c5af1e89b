package org.bramleytrestle.routing

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.double
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.test.runTest
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.model.ServiceName
import org.bramleytrestle.model.Side

class SideSplitTest {
    private fun side(key: String, share: Double, service: String = "notes") =
        SideSplit.side(OrganisationId("lab-a"), ServiceName(service), key, share)

    @Test
    fun `raising the share moves callers only from old to new`() = runTest {
        checkAll(
            PropTestConfig(seed = 5, iterations = 2_000),
            Arb.string(0..12),
            Arb.double(0.0..1.0),
            Arb.double(0.0..1.0)
        ) { key, one, other ->
            val (low, high) = listOf(one, other).sorted()
            if (side(key, low) == Side.NEW) assertEquals(Side.NEW, side(key, high))
            assertEquals(Side.OLD, side(key, 0.0))
            assertEquals(Side.NEW, side(key, 1.0))
        }
    }

    @Test
    fun `the new side takes its share of similar keys`() {
        listOf(0.01, 0.1, 0.5, 0.9).forEach { share ->
            val taken = (0..<20_000).count { side("caller-$it", share) == Side.NEW } / 20_000.0
            assertTrue(taken in share - 0.01..share + 0.01, "share $share took $taken")
        }
    }

    @Test
    fun `the split of one service says nothing about another`() {
        val both = (0..<10_000).count { side("c$it", 0.5) == side("c$it", 0.5, "reports") }
        assertTrue(both in 4_800..5_200, "$both")
        assertNotEquals(
            (0..<64).map { SideSplit.side(OrganisationId("a"), ServiceName("bc"), "$it", 0.5) },
            (0..<64).map { SideSplit.side(OrganisationId("ab"), ServiceName("c"), "$it", 0.5) }
        )
    }
}
