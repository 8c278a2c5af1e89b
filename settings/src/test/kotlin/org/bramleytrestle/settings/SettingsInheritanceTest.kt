package org.bramleytrestle.settings

import com.github.michaelbull.result.get
import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.double
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.orNull
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlinx.coroutines.test.runTest
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.model.RepeatPolicy
import org.bramleytrestle.model.ServiceName

class SettingsInheritanceTest {
    private fun state(vararg patches: String): SettingsState =
        patches.fold(SettingsState.EMPTY) { state, text ->
            assertNotNull(state.patched(assertNotNull(SettingsYaml.parse(text).get())).get(), text)
        }

    private fun SettingsState.newShare(organisation: String, service: String? = null) =
        effective(OrganisationId(organisation), service?.let { ServiceName(it) }).newShare

    @Test
    fun `a change at fleet level applies to every branch that does not override it`() {
        val state = state(
            "defaults: {newShare: 0.1}",
            "organisations: {a: {overrides: {newShare: 0.9}}, b: {services: {s: {}}}}",
            "defaults: {newShare: 0.4}"
        )
        assertEquals(
            listOf(0.9, 0.9, 0.4, 0.4),
            listOf(
                "a" to null,
                "a" to "s",
                "b" to "s",
                "c" to null
            )
                .map { (organisation, service) -> state.newShare(organisation, service) }
        )
    }

    @Test
    fun `removing an override restores inheritance`() {
        val state = state(
            "defaults: {newShare: 0.1}",
            "organisations: {a: {overrides: {newShare: 0.9}}}",
            "organisations: {a: {overrides: {newShare: null}}}"
        )
        assertEquals(0.1, state.newShare("a"))
    }

    @Test
    fun `maps are merged by key and lists are replaced`() {
        val state = state(
            "models: {m: {layers: 4}, n: {layers: 4}}",
            "defaults: {operations: {POST /a: never}, models: [m, n]}",
            "organisations: {a: {overrides: {operations: {GET /a: repeatable}, models: [n]}}}"
        )
        val settings = state.effective(OrganisationId("a"))
        assertEquals(
            mapOf("POST /a" to RepeatPolicy.NEVER, "GET /a" to RepeatPolicy.REPEATABLE),
            settings.operations
        )
        assertEquals(listOf("n"), settings.models)
    }

    @OptIn(ExperimentalKotest::class)
    @Test
    fun `the most specific level with a value wins after any sequence of changes`() = runTest {
        val scopes = listOf("fleet", "a", "a/s")
        val change = Arb.pair(Arb.element(scopes), Arb.double(0.0, 1.0).orNull(0.3))
        checkAll(PropTestConfig(seed = 20), Arb.list(change, 1..12)) { changes ->
            val explicit = mutableMapOf<String, Double?>()
            val patches = changes.map { (scope, value) ->
                explicit[scope] = value
                when (scope) {
                    "fleet" -> "defaults: {newShare: $value}"
                    "a" -> "organisations: {a: {overrides: {newShare: $value}}}"
                    else -> "organisations: {a: {services: {s: {overrides: {newShare: $value}}}}}"
                }
            }
            val expected = scopes.mapNotNull { explicit[it] }.lastOrNull() ?: 0.5
            assertEquals(expected, state(*patches.toTypedArray()).newShare("a", "s"))
        }
    }

    @Test
    fun `a report contains the level that sets each value and every scope that a change alters`() {
        val before = state("organisations: {a: {overrides: {weight: 2}}, b: {}}")
        val after = before.patched(assertNotNull(SettingsYaml.parse("defaults: {weight: 3}").get()))
        val differences = SettingsReport.differences(before, assertNotNull(after.get()))
        assertEquals(listOf("fleet", "b"), differences.map { it.scope })
        val weight = SettingsReport.values(before, "a", null).single { it.key == "weight" }
        assertEquals(EffectiveValue("weight", "2.0", "a"), weight)
    }
}
