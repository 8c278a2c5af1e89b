package org.bramleytrestle.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject

/** Decodes a settings tree and checks every scope of it. */
internal object SettingsValidation {
    private val json = Json { ignoreUnknownKeys = false }

    fun decode(tree: JsonObject): Result<SettingsDocument, List<SettingsError>> {
        val document = try {
            json.decodeFromJsonElement(SettingsDocument.serializer(), tree)
        } catch (e: SerializationException) {
            return Err(listOf(SettingsError("settings", e.message.orEmpty(), "a valid document")))
        }
        return Ok(document)
    }
}
