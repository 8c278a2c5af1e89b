package org.bramleytrestle.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.optional
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.bramleytrestle.settings.EffectiveValue

/** Shows the effective values and the level that sets each of them. */
internal class GetCommand :
    NodeCommand("get", "Show effective values and the level that sets each") {
    private val path by argument(
        ArgType.String,
        description = "organisation or organisation/service; default: the fleet"
    ).optional()

    override fun execute() {
        val values = api().effective(path.orEmpty())
        if (asJson) {
            println(Json.encodeToString(ListSerializer(EffectiveValue.serializer()), values))
        } else {
            for ((key, value, setBy) in values) println("$key: $value (set by $setBy)")
        }
    }
}
