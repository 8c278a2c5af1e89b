package org.bramleytrestle.standins.engine

import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LineageStep
import org.bramleytrestle.standins.WireJson

/** Drives the other hops of a chain as its first hop and writes one event per token to [sink]. */
internal class StreamDriver(
    private val instance: InstanceId,
    private val core: EngineCore,
    private val hops: HopClient,
    private val request: StreamRequest,
    private val onRan: () -> Unit,
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
        var newest = request.emitted
        var position = 0
        var index = request.emitted.size
        while (index < request.maxTokens) {
            val (token, positions) = next(position, newest)
            if (token.id == ReferenceModel.END_TOKEN) return index to "stop"
            val message =
                TokenMessage(key.first, key.second, index, token.id, token.text, lineage)
            sink("token", WireJson.encodeToString(message))
            index++
            position += positions
            newest = listOf(token.id)
        }
        return index to "length"
    }

    private suspend fun next(position: Int, newest: List<Int>): Pair<Token, Int> {
        var answer: StepAnswer? = null
        for ((index, hop) in request.route.withIndex()) {
            val step = StepRequest(
                request = key.first,
                attempt = key.second,
                model = request.model,
                version = request.version,
                firstPosition = position,
                layers = hop.layers,
                prompt = request.prompt.takeIf { index == 0 && position == 0 },
                emitted = newest.takeIf { index == 0 },
                inputs = answer?.outputs,
                priority = request.priority
            )
            answer = if (index == 0) here(step) else there(index, step)
        }
        val token = answer?.token
        if (answer == null || token == null) throw HopError(lineage.last().instance, "engineError")
        return token to answer.outputs.size
    }

    private suspend fun here(step: StepRequest): StepAnswer =
        when (val result = core.step(step, onRan)) {
            is StepResult.Ran -> result.answer
            is StepResult.Refused -> throw HopError(instance, result.error)
        }

    private suspend fun there(index: Int, step: StepRequest): StepAnswer {
        val hop = request.route[index]
        val outcome = hops.step(hop, step)
        val answer = outcome.answer ?: throw HopError(hop.instance, outcome.error)
        val matches = answer.request == step.request && answer.attempt == step.attempt &&
            answer.firstPosition == step.firstPosition && answer.layers == step.layers &&
            answer.outputs.size == step.inputs?.size
        if (!matches) throw HopError(hop.instance, "mismatch")
        return answer
    }
}
