package org.bramleytrestle.ctl

import kotlinx.cli.ArgType

/** Applies a merge patch as a change. */
internal class ApplyCommand : ChangeCommand("apply", "Apply a YAML merge patch as a change") {
    private val file by argument(ArgType.String, description = "YAML merge patch")

    private val base by option(
        ArgType.Int,
        fullName = "base",
        description = "Revision the patch is based on; default: the current one"
    )

    override fun execute() {
        val patch = readSettings(file)
        val api = api()
        send(api, base?.toLong() ?: api.settings().revision, patch)
    }
}
