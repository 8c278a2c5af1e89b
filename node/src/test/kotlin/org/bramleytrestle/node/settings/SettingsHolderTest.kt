package org.bramleytrestle.node.settings

import com.github.michaelbull.result.get
import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.bramleytrestle.settings.Change
import org.bramleytrestle.settings.SettingsState

class SettingsHolderTest {
    private fun change(revision: Int) = Change(
        revision = revision.toLong(),
        changeId = "c$revision",
        author = "test",
        reason = "test",
        timeMillis = 0,
        patch = JsonObject(
            mapOf("defaults" to JsonObject(mapOf("maxTokens" to JsonPrimitive(revision))))
        )
    )

    private fun state(revision: Int): SettingsState =
        assertNotNull(SettingsState.of(revision.toLong(), change(revision).patch).get())

    @OptIn(ExperimentalKotest::class)
    @Test
    fun `changes and full states in any order never lower the revision or skip a change`() =
        runTest {
            val step = Arb.pair(Arb.int(1..12), Arb.boolean())
            checkAll(PropTestConfig(seed = 31), Arb.list(step, 1..60)) { steps ->
                val holder = SettingsHolder()
                var highest = 0L
                for ((revision, isFullState) in steps) {
                    if (isFullState) {
                        holder.replace(state(revision))
                    } else {
                        holder.apply(listOf(change(revision)))
                    }
                    assertTrue(holder.state.revision >= highest)
                    highest = holder.state.revision
                    val expected = if (highest == 0L) null else highest.toInt()
                    assertEquals(expected, holder.state.document.defaults.maxTokens)
                }
            }
        }

    @Test
    fun `a batch is applied in revision order regardless of its own order`() {
        val applied = mutableListOf<Long>()
        val holder = SettingsHolder { changes -> applied += changes.map { it.revision } }
        holder.apply(listOf(change(3), change(1), change(2)))
        assertEquals(listOf(1L, 2L, 3L), applied)
        assertEquals(listOf(2L, 3L), holder.changesAfter(1)?.map { it.revision })
    }

    @Test
    fun `changes that precede a full state are reported as not retained`() {
        val holder = SettingsHolder()
        holder.replace(state(5))
        holder.apply(listOf(change(6)))
        assertNull(holder.changesAfter(3))
        assertEquals(listOf(6L), holder.changesAfter(5)?.map { it.revision })
    }
}
