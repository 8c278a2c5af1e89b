package org.bramleytrestle.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class SettingsValidationTest {
    @Test
    fun `an invalid document is rejected with the path of the error`() {
        val cases = listOf(
            "defaults: {newShares: 0.5}" to "defaults.newShares",
            "defaults: {newShare: 1.5}" to "defaults.newShare",
            "defaults: {newShare: half}" to "defaults.newShare",
            "defaults: {maxTokens: 0}" to "defaults.maxTokens",
            "defaults: {models: [missing]}" to "defaults.models[0]",
            "defaults: [1]" to "defaults",
            "defaults: {maxAttempts: 1, retryBudget: 0.1}" to "defaults.retryBudget",
            "defaults: {operations: {bookings: never}}" to "defaults.operations.bookings",
            "organisations: {a b: {}}" to "organisations.a b",
            "pools: {p: {kind: engine, side: new}}" to "pools.p.model",
            "pools: {p: {kind: engine}}" to "pools.p.side",
            "models: {m: {version: \"1\"}}" to "models.m.layers",
            "organisations: {a: {overrides: {tokensPerSecond: 10}," +
                " services: {s: {overrides: {tokensPerSecond: 20}}}}}" to
                "organisations.a.services.s.overrides.tokensPerSecond",
            "- 1" to "settings",
            "a: [" to "settings",
            "" to "settings"
        )
        for ((text, path) in cases) {
            val errors = SettingsYaml.parse(text).getError()
                ?: SettingsState.of(1, assertNotNull(SettingsYaml.parse(text).get())).getError()
            assertEquals(path, assertNotNull(errors, text).first().path, text)
        }
    }

    @Test
    fun `all errors in a document are reported together`() {
        val tree = SettingsYaml.parse("defaults: {newShare: 2, weight: 0, x: 1}").get()
        assertEquals(3, SettingsState.of(1, assertNotNull(tree)).getError()?.size)
    }
}
