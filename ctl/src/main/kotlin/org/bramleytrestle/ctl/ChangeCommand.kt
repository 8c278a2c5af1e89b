package org.bramleytrestle.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import org.bramleytrestle.settings.Change

/** A subcommand that sends one change. */
internal abstract class ChangeCommand(name: String, description: String) :
    NodeCommand(name, description) {
    private val reason by option(
        ArgType.String,
        fullName = "reason",
        description = "Reason, for the audit trail"
    ).required()

    private val wait by option(
        ArgType.Boolean,
        fullName = "wait",
        description = "Wait until the change is in force on all live nodes"
    ).default(false)

    private val timeout by option(
        ArgType.Int,
        fullName = "timeout",
        description = "Maximum wait in seconds"
    ).default(DEFAULT_TIMEOUT_SECONDS)

    protected fun send(api: NodeApi, baseRevision: Long, patch: JsonObject) {
        val sender = ChangeSender(api)
        val change = sender.send(baseRevision, reason, patch)
        if (wait) sender.await(change.revision, timeout)
        if (asJson) {
            println(Json.encodeToString(Change.serializer(), change))
        } else {
            val suffix = if (wait) ", in force on all live nodes" else ""
            println("revision ${change.revision} accepted$suffix")
        }
    }

    private companion object {
        const val DEFAULT_TIMEOUT_SECONDS = 10
    }
}
