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
 * Calls every hop for each token. The inputs of each stage are recorded, so that a failed hop can
 * be replaced by [replaceHop] without running the other stages again; without a replacement the
 * attempt fails.
 */
internal class NodeDrivenChainRunner(
    private val pools: HttpPools,
    private val options: BackendOptions,
    private val probes: Probes,
    private val replaceHop: (suspend (failed: StageHop) -> StageHop?)?,
    private val clock: TimeSource = TimeSource.Monotonic
) : ChainRunner {
    private val engines = EngineCalls(pools, options)

    override fun run(work: ChainWork): Flow<StreamEvent> {
        work.checkPlan()
        return channelFlow { Attempt(work, this).run() }.buffer(work.maxEvents)
    }

    /** What one stage got so far; `ids` is the first stage's input, `values` that of the others. */
    private class StageInput(val ids: List<Int>?, val values: List<Long>?)

    private inner class Attempt(
        private val work: ChainWork,
        private val scope: ProducerScope<StreamEvent>
    ) {
        private val hops = work.hops.toMutableList()
        private val used = work.hops.toMutableList()
        private val recorded = hops.map { mutableListOf<StageInput>() }
        private val stall = StallWatch(probes, options, clock)
        private var replacements = 0

        @Volatile
        private var current = hops.first()

        @Volatile
        private var call: Call? = null

        @Volatile
        private var silenced: Call? = null

        suspend fun run() {
            try {
                coroutineScope {
                    val watch = launch { cancelSilent() }
                    scope.send(generate().getOrElse { it })
                    watch.cancel()
                }
            } finally {
                used.forEach { engines.cancel(it, work.request.value, work.attempt) }
            }
        }

        private suspend fun cancelSilent() {
            while (true) {
                stall.silentHop { listOf(current) }
                stall.progressed()
                silenced = call
                call?.cancel()
            }
        }

        private suspend fun generate(): Result<StreamEvent, StreamEvent.Failed> {
            var newest = work.emitted
            var position = 0
            var index = work.emitted.size
            while (index < work.maxTokens) {
                val step = token(position, newest)
                val answer = step.getOrElse { return Err(it) }
                val token = answer.token
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
                position += answer.outputs.size
                newest = listOf(token.id)
            }
            return Ok(StreamEvent.Done(index, "length"))
        }

        private suspend fun token(
            position: Int,
            newest: List<Int>
        ): Result<StepAnswer, StreamEvent.Failed> {
            var input = StageInput(newest, null)
            var answer: StepAnswer? = null
            for (stage in hops.indices) {
                if (replaceHop != null) recorded[stage] += input
                val result = step(stage, position, listOf(input))
                val failure = result.getError()
                val ran = if (failure == null) {
                    result
                } else {
                    replaced(stage, input, failure)
                }
                answer = ran.getOrElse {
                    return Err(StreamEvent.Failed(hops[stage].instance, it))
                }
                input = StageInput(null, answer.outputs)
            }
            return Ok(checkNotNull(answer) { "a plan without hops" })
        }

        /** Runs everything that the stage got so far on another engine. */
        private suspend fun replaced(
            stage: Int,
            newest: StageInput,
            failure: HopFailure
        ): Result<StepAnswer, HopFailure> {
            val failed = hops[stage]
            val spare = replaceHop?.takeIf { replacements < work.hops.size }?.invoke(failed)
            if (spare == null || spare.layers != failed.layers || spare in used) return Err(failure)
            replacements++
            hops[stage] = spare
            used += spare
            val whole = step(stage, 0, recorded[stage]).getOrElse { return Err(it) }
            val positions = newest.values?.size ?: whole.outputs.size.takeIf {
                recorded[stage].size == 1
            } ?: 1
            return Ok(
                whole.copy(
                    firstPosition = whole.outputs.size - positions,
                    outputs = whole.outputs.takeLast(positions)
                )
            )
        }

        private suspend fun step(
            stage: Int,
            position: Int,
            inputs: List<StageInput>
        ): Result<StepAnswer, HopFailure> {
            val hop = hops[stage]
            val message = StepMessage(
                request = work.request.value,
                attempt = work.attempt,
                model = work.model.value,
                version = work.version,
                firstPosition = position,
                layers = hop.layers,
                prompt = work.prompt.takeIf { stage == 0 && position == 0 },
                emitted = if (stage == 0) inputs.flatMap { it.ids.orEmpty() } else null,
                inputs = if (stage == 0) null else inputs.flatMap { it.values.orEmpty() },
                priority = work.priority
            )
            val record = SendRecord()
            val request = Request.Builder()
                .url(engines.url(hop.address, "/v1/stage/step"))
                .record(record)
                .post(OneShotBody(WireJson.encodeToString(message).toByteArray(), JsonType))
                .build()
            val sent = pools.client(hop.address).newCall(request)
            current = hop
            call = sent
            stall.progressed()
            val result = engines.read(sent, record) { WireJson.decodeFromString<StepAnswer>(it) }
            if (silenced === sent) {
                pools.evict(hop.address)
                return Err(HopFailure.SILENT)
            }
            result.onSuccess { if (!answers(message, it)) return Err(HopFailure.MISMATCH) }
            return result
        }

        private fun answers(message: StepMessage, answer: StepAnswer): Boolean {
            val positions = message.inputs?.size ?: message.emitted.orEmpty().size
            val counted = if (message.prompt == null) {
                answer.outputs.size == positions
            } else {
                answer.outputs.size >= maxOf(positions, 1)
            }
            return counted && answer.request == message.request &&
                answer.attempt == message.attempt &&
                answer.firstPosition == message.firstPosition && answer.layers == message.layers
        }
    }

    private companion object {
        /** Token id by which engines end an answer; it is not part of the answer. */
        const val END_TOKEN = 0
    }
}
