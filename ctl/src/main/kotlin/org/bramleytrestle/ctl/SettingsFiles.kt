package org.bramleytrestle.ctl

import com.github.michaelbull.result.getOrElse
import java.io.File
import java.io.IOException
import kotlinx.serialization.json.JsonObject
import org.bramleytrestle.settings.SettingsYaml

/** Reads a settings file or patch. An error aborts the command and names its location. */
internal fun readSettings(path: String): JsonObject {
    val text = try {
        File(path).readText()
    } catch (e: IOException) {
        throw CommandFailure(ExitCode.INVALID, "$path: ${e.message}")
    }
    return SettingsYaml.parse(text).getOrElse { errors ->
        throw CommandFailure(ExitCode.INVALID, errors.joinToString("\n") { "$path: $it" })
    }
}
