package org.bramleytrestle.node.http

import kotlinx.serialization.Serializable

/** One message of a chat. */
@Serializable
internal data class ChatMessage(val role: String, val content: String)
