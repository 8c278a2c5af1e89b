package org.bramleytrestle.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject

/** Decodes a settings tree and checks every scope of it. */
internal object SettingsValidation {
    // Lenient, since YAML does not tell the text "1" from the number 1.
    private val json = Json { isLenient = true }

    fun decode(tree: JsonObject): Result<SettingsDocument, List<SettingsError>> {
        val faults = mutableListOf<SettingsError>()
        settingsSchema("", tree, faults)
        if (faults.isNotEmpty()) return Err(faults)
        val document = json.decodeFromJsonElement(SettingsDocument.serializer(), tree)
        val conflicts = SettingsConsistency(document).check()
        return if (conflicts.isEmpty()) Ok(document) else Err(conflicts)
    }
}
