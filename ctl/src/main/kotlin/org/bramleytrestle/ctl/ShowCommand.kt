package org.bramleytrestle.ctl

import kotlinx.cli.ArgType
import kotlinx.serialization.json.Json
import org.bramleytrestle.settings.Change

/** Shows one change with its patch. */
internal class ShowCommand : NodeCommand("show", "Show one change with its patch") {
    private val revision by argument(ArgType.Int, description = "Revision of the change")

    override fun execute() {
        val change = api().changeAt(revision.toLong())
        if (asJson) {
            println(Json.encodeToString(Change.serializer(), change))
        } else {
            println(describe(change))
            println(change.patch)
        }
    }
}
