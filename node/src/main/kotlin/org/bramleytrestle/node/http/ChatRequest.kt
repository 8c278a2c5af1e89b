package org.bramleytrestle.node.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Body of a chat completion. Fields that this project does not use are ignored. */
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
