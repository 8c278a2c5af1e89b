package org.bramleytrestle.ctl

import com.github.michaelbull.result.getOrElse
import java.io.File
import java.io.IOException
import kotlinx.serialization.json.JsonObject
import org.bramleytrestle.settings.SettingsYaml

/** Reads a settings file or patch; a fault ends the command with its place. */
internal fun readSettings(path: String): JsonObject {
    val text = try {
        File(path).readText()
    } catch (e: IOException) {
        throw CommandFailure(ExitCode.INVALID, "$path: ${e.message}")
    }
    return SettingsYaml.parse(text).getOrElse { faults ->
        throw CommandFailure(ExitCode.INVALID, faults.joinToString("\n") { "$path: $it" })
    }
}
