package org.bramleytrestle.node.http

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** Builds the response bodies of chat completions in the format of the OpenAI API. */
internal class ChatResponses(
    private val id: String,
    private val model: String,
    private val createdSeconds: Long
) {
    fun completion(text: String, finishReason: String, promptTokens: Int, tokens: Int): JsonObject =
        response("chat.completion") {
            putJsonArray("choices") {
                addJsonObject {
                    put("index", 0)
                    putJsonObject("message") {
                        put("role", "assistant")
                        put("content", text)
                    }
                    put("finish_reason", finishReason)
                }
            }
            putJsonObject("usage") {
                put("prompt_tokens", promptTokens)
                put("completion_tokens", tokens)
                put("total_tokens", promptTokens + tokens)
            }
        }

    fun chunk(text: String?, finishReason: String?): JsonObject =
        response("chat.completion.chunk") {
            putJsonArray("choices") {
                addJsonObject {
                    put("index", 0)
                    putJsonObject("delta") { if (text != null) put("content", text) }
                    put("finish_reason", finishReason)
                }
            }
        }

    private fun response(type: String, content: JsonObjectBuilder.() -> Unit) = buildJsonObject {
        put("id", id)
        put("object", type)
        put("created", createdSeconds)
        put("model", model)
        content()
    }
}
