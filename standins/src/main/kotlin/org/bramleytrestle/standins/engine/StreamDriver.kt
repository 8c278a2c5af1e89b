package org.bramleytrestle.standins.engine

import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LineageStep
import org.bramleytrestle.standins.WireJson

/**
 * Runs a stream as the first hop of its chain: executes each step on all hops in order and writes
 * one event per token to [sink].
 */
internal class StreamDriver(
    private val instance: InstanceId,
    private val core: EngineCore,
    private val hops: HopClient,
    private val request: StreamRequest,
    private val onStepExecuted: () -> Unit,
    private val sink: suspend (event: String, data: String) -> Unit
) {
    private class HopError(val instance: InstanceId, val error: String) : Exception(error)

    private val lineage = request.route.mapIndexed { index, hop ->
        LineageStep(if (index == 0) instance else hop.instance, hop.layers)
    }
    private val key = request.request to request.attempt

    suspend fun run() {
        try {
            val (count, reason) = generate()
            val done = DoneMessage(key.first, key.second, count, reason)
            sink("done", WireJson.encodeToString(done))
        } catch (e: HopError) {
            val failed = FailedMessage(key.first, key.second, e.instance.value, e.error)
            sink("failed", WireJson.encodeToString(failed))
        } finally {
            core.cancel(key.first, key.second)
            request.route.drop(1).forEach { hops.cancel(it, key.first, key.second) }
        }
    }

    private suspend fun generate(): Pair<Int, String> {
        var pendingTokens = request.emitted
        var position = 0
        var index = request.emitted.size
        while (index < request.maxTokens) {
            val (token, positions) = generateToken(position, pendingTokens)
            if (token.id == ReferenceModel.END_TOKEN) return index to "stop"
            val message =
                TokenMessage(key.first, key.second, index, token.id, token.text, lineage)
            sink("token", WireJson.encodeToString(message))
            index++
            position += positions
            pendingTokens = listOf(token.id)
        }
        return index to "length"
    }

    private suspend fun generateToken(position: Int, pendingTokens: List<Int>): Pair<Token, Int> {
        var response: StepResponse? = null
        for ((index, hop) in request.route.withIndex()) {
            val step = StepRequest(
                request = key.first,
                attempt = key.second,
                model = request.model,
                version = request.version,
                firstPosition = position,
                layers = hop.layers,
                prompt = request.prompt.takeIf { index == 0 && position == 0 },
                emitted = pendingTokens.takeIf { index == 0 },
                inputs = response?.outputs,
                priority = request.priority
            )
            response = if (index == 0) stepLocally(step) else stepRemotely(index, step)
        }
        val token = response?.token
        if (response == null || token == null) {
            throw HopError(lineage.last().instance, "engineError")
        }
        return token to response.outputs.size
    }

    private suspend fun stepLocally(step: StepRequest): StepResponse =
        when (val result = core.step(step, onStepExecuted)) {
            is StepResult.Executed -> result.response
            is StepResult.Refused -> throw HopError(instance, result.error)
        }

    private suspend fun stepRemotely(index: Int, step: StepRequest): StepResponse {
        val hop = request.route[index]
        val outcome = hops.step(hop, step)
        val response = outcome.response ?: throw HopError(hop.instance, outcome.error)
        val matches = response.request == step.request && response.attempt == step.attempt &&
            response.firstPosition == step.firstPosition && response.layers == step.layers &&
            response.outputs.size == step.inputs?.size
        if (!matches) throw HopError(hop.instance, "mismatch")
        return response
    }
}
