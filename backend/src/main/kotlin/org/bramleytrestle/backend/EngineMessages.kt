package org.bramleytrestle.backend

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.StageHop

internal val WireJson: Json = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
}

@Serializable
internal data class StreamMessage(
    val request: String,
    val attempt: Int,
    val model: String,
    val version: String,
    val route: List<StageHop>,
    val prompt: String,
    val emitted: List<Int>,
    val maxTokens: Int,
    val priority: Int
)

@Serializable
internal data class DoneMessage(
    val request: String,
    val attempt: Int,
    val count: Int,
    val finishReason: String
)

@Serializable
internal data class FailedMessage(
    val request: String,
    val attempt: Int,
    val instance: String,
    val error: String
)

@Serializable
internal data class StepMessage(
    val request: String,
    val attempt: Int,
    val model: String,
    val version: String,
    val firstPosition: Int,
    val layers: LayerRange,
    val prompt: String? = null,
    val emitted: List<Int>? = null,
    val inputs: List<Long>? = null,
    val priority: Int
)

@Serializable
internal data class StepToken(val id: Int, val text: String)

@Serializable
internal data class StepResponse(
    val request: String,
    val attempt: Int,
    val firstPosition: Int,
    val layers: LayerRange,
    val outputs: List<Long>,
    val token: StepToken? = null
)

@Serializable
internal data class ErrorMessage(val error: String)

@Serializable
internal data class OrderMessage(
    val orderId: String,
    val fencingNumber: Long,
    val action: String,
    val model: String,
    val version: String,
    val adapter: String? = null,
    val layers: LayerRange? = null
)

@Serializable
internal data class CacheEventMessage(
    val sequence: Long,
    val prefixHash: Long,
    val stored: Boolean = false,
    val evicted: Boolean = false
)

@Serializable
internal data class CacheEventsMessage(val events: List<CacheEventMessage>)
