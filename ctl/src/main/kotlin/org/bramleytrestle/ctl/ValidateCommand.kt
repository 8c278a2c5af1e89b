package org.bramleytrestle.ctl

import com.github.michaelbull.result.getOrElse
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import org.bramleytrestle.settings.SettingsState

/** Validates a settings file without contacting a node. */
@OptIn(ExperimentalCli::class)
internal class ValidateCommand :
    Subcommand("validate", "Validate a complete settings file without a node") {
    private val file by argument(ArgType.String, description = "YAML file")

    override fun execute() {
        SettingsState.of(1, readSettings(file)).getOrElse { errors ->
            throw CommandFailure(ExitCode.INVALID, errors.joinToString("\n") { "$file: $it" })
        }
        println("$file is valid")
    }
}
