package org.bramleytrestle.settings

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar
import com.charleskorn.kaml.YamlTaggedNode
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Parses settings, or a merge patch for them, from YAML. Null values remove overrides. */
public object SettingsYaml {
    /** Maximum length in characters; the platform stores values of up to a megabyte. */
    public const val MAX_CHARS: Int = 1_000_000

    private val numberPattern = Regex("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][-+]?[0-9]+)?")

    public fun parse(text: String): Result<JsonObject, List<SettingsError>> {
        if (text.length > MAX_CHARS) {
            return error("${text.length} characters", "at most $MAX_CHARS characters")
        }
        if (text.isBlank()) return error("an empty text", "a map of settings")
        return try {
            val tree = convert(Yaml.default.parseToYamlNode(text))
            if (tree is JsonObject) Ok(tree) else error("$tree", "a map of settings")
        } catch (e: YamlException) {
            error("line ${e.line}, column ${e.column}: ${e.message}", "valid YAML")
        }
    }

    private fun error(value: String, expected: String) =
        Err(listOf(SettingsError("settings", value, expected)))

    private fun convert(node: YamlNode): JsonElement = when (node) {
        is YamlNull -> JsonNull
        is YamlScalar -> scalar(node.content)
        is YamlList -> JsonArray(node.items.map(::convert))
        is YamlMap -> JsonObject(
            node.entries.entries.associate { (key, value) -> key.content to convert(value) }
        )
        is YamlTaggedNode -> convert(node.innerNode)
    }

    private fun scalar(content: String): JsonPrimitive = when {
        content == "true" || content == "false" -> JsonPrimitive(content.toBoolean())
        numberPattern.matches(content) ->
            content.toLongOrNull()?.let { JsonPrimitive(it) } ?: JsonPrimitive(content.toDouble())
        else -> JsonPrimitive(content)
    }
}
