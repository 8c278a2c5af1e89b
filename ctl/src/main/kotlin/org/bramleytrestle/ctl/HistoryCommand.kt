package org.bramleytrestle.ctl

import java.time.Instant
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.bramleytrestle.settings.Change

/** Lists accepted changes. */
internal class HistoryCommand : NodeCommand("history", "List accepted changes, oldest first") {
    private val after by option(
        ArgType.Int,
        fullName = "after",
        description = "Only changes after this revision"
    ).default(0)

    private val limit by option(
        ArgType.Int,
        fullName = "limit",
        description = "Maximum number of changes to list"
    ).default(DEFAULT_LIMIT)

    override fun execute() {
        val changes = api().changes(after.toLong(), limit)
        if (asJson) {
            println(Json.encodeToString(ListSerializer(Change.serializer()), changes))
            return
        }
        for (change in changes) println(describe(change))
    }

    private companion object {
        const val DEFAULT_LIMIT = 50
    }
}

/** Formats a change as one line: revision, time, author, reason and id. */
internal fun describe(change: Change): String = with(change) {
    "$revision ${Instant.ofEpochMilli(timeMillis)} $author: $reason ($changeId)"
}
