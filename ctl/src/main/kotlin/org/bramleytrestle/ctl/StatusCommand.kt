package org.bramleytrestle.ctl

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject

/** Shows the status of a node and its view of the fleet. */
internal class StatusCommand : NodeCommand("status", "Show a node's view of the fleet") {
    override fun execute() {
        val status = api().status()
        if (asJson) {
            println(status)
            return
        }
        val lists = setOf("members", "servers")
        for ((key, value) in status.filterKeys { it !in lists }) println("$key: $value")
        for (list in lists) {
            println("$list:")
            (status[list] as JsonArray).forEach { println("  ${format(it.jsonObject)}") }
        }
    }

    private fun format(item: JsonObject) =
        item.entries.joinToString(" ") { (key, value) -> "$key=$value" }
}
