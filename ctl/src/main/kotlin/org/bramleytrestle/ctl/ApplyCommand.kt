package org.bramleytrestle.ctl

import kotlinx.cli.ArgType

/** Sends a merge patch as a change. */
internal class ApplyCommand : ChangeCommand("apply", "Apply a YAML merge patch as a change") {
    private val file by argument(ArgType.String, description = "YAML merge patch")

    private val base by option(
        ArgType.Int,
        fullName = "base",
        description = "Revision the patch was made for; default: the one in force"
    )

    override fun execute() {
        val patch = readSettings(file)
        val api = api()
        send(api, base?.toLong() ?: api.settings().revision, patch)
    }
}
