package org.bramleytrestle.backend

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onSuccess
import kotlin.time.TimeSource
import kotlinx.coroutines.channels.ProducerScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.launch
import okhttp3.Call
import okhttp3.Request
import org.bramleytrestle.model.LineageStep
import org.bramleytrestle.model.StageHop
import org.bramleytrestle.model.TokenEvent

/**
 * Calls every hop for each token. The inputs of each stage are recorded, so that [replaceHop] can
 * provide another engine for a failed hop without rerunning the other stages. Without a replacement
 * the attempt fails.
 */
internal class NodeDrivenChainRunner(
    private val pools: HttpPools,
    private val options: BackendOptions,
    private val probes: HealthProbes,
    private val replaceHop: (suspend (failed: StageHop) -> StageHop?)?,
    private val clock: TimeSource = TimeSource.Monotonic
) : ChainRunner {
    private val engines = EngineCalls(pools, options)

    override fun run(work: ChainWork): Flow<StreamEvent> {
        work.checkLayerCoverage()
        return channelFlow { Attempt(work, this).run() }.buffer(work.maxEvents)
    }

    /** One input of a stage: [tokenIds] for the first stage, [hiddenStates] for the others. */
    private class StageInput(val tokenIds: List<Int>?, val hiddenStates: List<Long>?)

    private inner class Attempt(
        private val work: ChainWork,
        private val scope: ProducerScope<StreamEvent>
    ) {
        private val hops = work.hops.toMutableList()
        private val usedHops = work.hops.toMutableList()
        private val recordedInputs = hops.map { mutableListOf<StageInput>() }
        private val stallDetector = StallDetector(probes, options, clock)
        private var replacements = 0

        @Volatile
        private var currentHop = hops.first()

        @Volatile
        private var currentCall: Call? = null

        @Volatile
        private var stalledCall: Call? = null

        suspend fun run() {
            try {
                coroutineScope {
                    val watchdog = launch { cancelStalledCalls() }
                    scope.send(generate().getOrElse { it })
                    watchdog.cancel()
                }
            } finally {
                usedHops.forEach { engines.cancel(it, work.request.value, work.attempt) }
            }
        }

        private suspend fun cancelStalledCalls() {
            while (true) {
                stallDetector.awaitFailedHop { listOf(currentHop) }
                stallDetector.recordProgress()
                stalledCall = currentCall
                currentCall?.cancel()
            }
        }

        private suspend fun generate(): Result<StreamEvent, StreamEvent.Failed> {
            var newest = work.emitted
            var position = 0
            var index = work.emitted.size
            while (index < work.maxTokens) {
                val step = nextToken(position, newest)
                val response = step.getOrElse { return Err(it) }
                val token = response.token
                    ?: return Err(StreamEvent.Failed(hops.last().instance, HopFailure.MISMATCH))
                if (token.id == END_TOKEN) return Ok(StreamEvent.Done(index, "stop"))
                val lineage = hops.map { LineageStep(it.instance, it.layers) }
                val event = TokenEvent(
                    work.request,
                    work.attempt,
                    index,
                    token.id,
                    token.text,
                    lineage
                )
                scope.send(StreamEvent.Token(event))
                index++
                position += response.outputs.size
                newest = listOf(token.id)
            }
            return Ok(StreamEvent.Done(index, "length"))
        }

        private suspend fun nextToken(
            position: Int,
            newest: List<Int>
        ): Result<StepResponse, StreamEvent.Failed> {
            var input = StageInput(newest, null)
            var response: StepResponse? = null
            for (stage in hops.indices) {
                if (replaceHop != null) recordedInputs[stage] += input
                val result = step(stage, position, listOf(input))
                val failure = result.getError()
                val recovered = if (failure == null) {
                    result
                } else {
                    runOnReplacement(stage, input, failure)
                }
                response = recovered.getOrElse {
                    return Err(StreamEvent.Failed(hops[stage].instance, it))
                }
                input = StageInput(null, response.outputs)
            }
            return Ok(
                checkNotNull(response) {
                    "request ${work.request} attempt ${work.attempt}: chain has no hops"
                }
            )
        }

        /** Runs all recorded inputs of the stage on another engine. */
        private suspend fun runOnReplacement(
            stage: Int,
            newest: StageInput,
            failure: HopFailure
        ): Result<StepResponse, HopFailure> {
            val failed = hops[stage]
            val replacement = replaceHop?.takeIf { replacements < work.hops.size }?.invoke(failed)
            if (replacement == null || replacement.layers != failed.layers ||
                replacement in usedHops
            ) {
                return Err(failure)
            }
            replacements++
            hops[stage] = replacement
            usedHops += replacement
            val replay = step(stage, 0, recordedInputs[stage]).getOrElse { return Err(it) }
            val positions = newest.hiddenStates?.size ?: replay.outputs.size.takeIf {
                recordedInputs[stage].size == 1
            } ?: 1
            return Ok(
                replay.copy(
                    firstPosition = replay.outputs.size - positions,
                    outputs = replay.outputs.takeLast(positions)
                )
            )
        }

        private suspend fun step(
            stage: Int,
            position: Int,
            inputs: List<StageInput>
        ): Result<StepResponse, HopFailure> {
            val hop = hops[stage]
            val message = StepMessage(
                request = work.request.value,
                attempt = work.attempt,
                model = work.model.value,
                version = work.version,
                firstPosition = position,
                layers = hop.layers,
                prompt = work.prompt.takeIf { stage == 0 && position == 0 },
                emitted = if (stage == 0) inputs.flatMap { it.tokenIds.orEmpty() } else null,
                inputs = if (stage == 0) null else inputs.flatMap { it.hiddenStates.orEmpty() },
                priority = work.priority
            )
            val record = SendRecord()
            val request = Request.Builder()
                .url(engines.url(hop.address, "/v1/stage/step"))
                .recordSends(record)
                .post(OneShotBody(WireJson.encodeToString(message).toByteArray(), JsonType))
                .build()
            val stepCall = pools.client(hop.address).newCall(request)
            currentHop = hop
            currentCall = stepCall
            stallDetector.recordProgress()
            val result =
                engines.read(stepCall, record) { WireJson.decodeFromString<StepResponse>(it) }
            if (stalledCall === stepCall) {
                pools.evict(hop.address)
                return Err(HopFailure.SILENT)
            }
            result.onSuccess { if (!matches(message, it)) return Err(HopFailure.MISMATCH) }
            return result
        }

        private fun matches(message: StepMessage, response: StepResponse): Boolean {
            val positions = message.inputs?.size ?: message.emitted.orEmpty().size
            val countMatches = if (message.prompt == null) {
                response.outputs.size == positions
            } else {
                response.outputs.size >= maxOf(positions, 1)
            }
            return countMatches && response.request == message.request &&
                response.attempt == message.attempt &&
                response.firstPosition == message.firstPosition && response.layers == message.layers
        }
    }

    private companion object {
        /** Id of the token that engines send at the end of a response; not part of the response. */
        const val END_TOKEN = 0
    }
}
