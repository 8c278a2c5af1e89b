package org.bramleytrestle.ctl

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.cli.ArgType
import kotlinx.cli.required
import org.bramleytrestle.settings.SettingsError
import org.bramleytrestle.settings.SettingsState

/**
 * Restores the settings of an earlier revision by a new change. The change log keeps the changes in
 * between.
 */
internal class RollbackCommand :
    ChangeCommand("rollback", "Restore an earlier revision as a new change") {
    private val target by option(
        ArgType.Int,
        fullName = "to",
        description = "Revision whose settings are restored"
    ).required()

    override fun execute() {
        val api = api()
        val view = api.settings()
        if (target !in 0..<view.revision) {
            throw CommandFailure(
                ExitCode.INVALID,
                "--to: got $target, expected 0 to ${view.revision - 1}"
            )
        }
        val current = SettingsState.of(view.revision, view.settings).orAbort()
        var restored = current
        for (revision in view.revision downTo target + 1L) {
            restored = restored.patched(api.changeAt(revision).undo).orAbort()
        }
        send(api, view.revision, current.patchTo(restored))
    }

    private fun Result<SettingsState, List<SettingsError>>.orAbort(): SettingsState =
        getOrElse { throw CommandFailure(ExitCode.INVALID, it.joinToString("\n")) }
}
