package org.bramleytrestle.node.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Request body of a chat completion. Unsupported fields are ignored. */
@Serializable
internal data class ChatRequest(
    val model: String,
    val messages: List<ChatMessage>,
    @SerialName("max_tokens") val maxTokens: Int? = null,
    val stream: Boolean = false,
    val user: String? = null
) {
    fun prompt(): String = messages.joinToString("\n") { "${it.role}: ${it.content}" }
}
