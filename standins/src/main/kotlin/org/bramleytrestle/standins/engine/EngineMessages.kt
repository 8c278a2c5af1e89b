package org.bramleytrestle.standins.engine

import kotlinx.serialization.Serializable
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.LineageStep
import org.bramleytrestle.model.StageHop

@Serializable
internal data class StepRequest(
    val request: String,
    val attempt: Int,
    val model: String,
    val version: String,
    val firstPosition: Int,
    val layers: LayerRange,
    val prompt: String? = null,
    val emitted: List<Int>? = null,
    val inputs: List<Long>? = null,
    val priority: Int = 0
)

@Serializable
internal data class StepResponse(
    val request: String,
    val attempt: Int,
    val firstPosition: Int,
    val layers: LayerRange,
    val outputs: List<Long>,
    val token: Token? = null
)

@Serializable
internal data class StreamRequest(
    val request: String,
    val attempt: Int,
    val model: String,
    val version: String,
    val route: List<StageHop>,
    val prompt: String,
    val emitted: List<Int> = emptyList(),
    val maxTokens: Int,
    val priority: Int = 0
)

@Serializable
internal data class TokenMessage(
    val request: String,
    val attempt: Int,
    val index: Int,
    val id: Int,
    val text: String,
    val lineage: List<LineageStep>
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
internal data class ErrorMessage(val error: String, val highest: Long? = null)

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
    val stored: Boolean,
    val evicted: Boolean
)

@Serializable
internal data class CacheEventsMessage(val events: List<CacheEventMessage>)

@Serializable
internal data class KvRange(val layers: LayerRange, val positions: Int, val values: List<Long>)

@Serializable
internal data class KvMessage(
    val request: String,
    val attempt: Int,
    val model: String,
    val version: String,
    val ranges: List<KvRange>
)

@Serializable
internal data class LeavingMessage(val leaving: Boolean = true)
