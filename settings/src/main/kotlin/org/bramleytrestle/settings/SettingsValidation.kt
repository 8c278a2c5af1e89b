package org.bramleytrestle.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject

/** Validates a settings tree and decodes it. */
internal object SettingsValidation {
    // Lenient, because SettingsYaml does not distinguish the string "1" from the number 1.
    private val json = Json { isLenient = true }

    fun decode(tree: JsonObject): Result<SettingsDocument, List<SettingsError>> {
        val errors = mutableListOf<SettingsError>()
        settingsSchema("", tree, errors)
        if (errors.isNotEmpty()) return Err(errors)
        val document = json.decodeFromJsonElement(SettingsDocument.serializer(), tree)
        val inconsistencies = SettingsConsistency(document).check()
        return if (inconsistencies.isEmpty()) Ok(document) else Err(inconsistencies)
    }
}
