package org.bramleytrestle.ctl

import kotlinx.cli.ArgType
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.bramleytrestle.settings.SettingsDifference

/** Shows the differences that a patch would make, by scope. */
internal class PlanCommand :
    NodeCommand("plan", "Show the differences a patch would make, by scope") {
    private val file by argument(ArgType.String, description = "YAML merge patch")

    override fun execute() {
        val differences = api().plan(readSettings(file))
        if (asJson) {
            val list = ListSerializer(SettingsDifference.serializer())
            println(Json.encodeToString(list, differences))
            return
        }
        if (differences.isEmpty()) println("nothing changes")
        for ((scope, key, before, after) in differences) println("$scope $key: $before -> $after")
    }
}
