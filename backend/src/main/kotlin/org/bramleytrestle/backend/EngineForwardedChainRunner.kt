package org.bramleytrestle.backend

import java.io.IOException
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlin.time.toJavaDuration
import kotlinx.coroutines.channels.ProducerScope
import kotlinx.coroutines.channels.awaitClose
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.callbackFlow
import kotlinx.coroutines.launch
import okhttp3.Call
import okhttp3.Callback
import okhttp3.Request
import okhttp3.Response
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.Invariants
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.LineageStep
import org.bramleytrestle.model.StageHop
import org.bramleytrestle.model.TokenEvent

/**
 * Gives the route to the first engine and reads one token stream. The first engine's pings show
 * that it is alive; when tokens stop nevertheless, every hop is probed on a new connection to find
 * the one that failed.
 */
internal class EngineForwardedChainRunner(
    private val pools: HttpPools,
    private val options: BackendOptions,
    private val probes: Probes,
    private val clock: TimeSource = TimeSource.Monotonic
) : ChainRunner {
    private val engines = EngineCalls(pools, options)

    override fun run(work: ChainWork): Flow<StreamEvent> {
        work.checkPlan()
        return callbackFlow {
            val attempt = Attempt(work, this)
            attempt.start()
            launch { attempt.watch() }
            awaitClose { attempt.close() }
        }.buffer(work.maxEvents)
    }

    private inner class Attempt(
        private val work: ChainWork,
        private val scope: ProducerScope<StreamEvent>
    ) : Callback {
        private val first = work.hops.first()
        private val lineage = work.hops.map { LineageStep(it.instance, it.layers) }
        private val record = SendRecord()
        private val ended = AtomicBoolean()
        private val completed = AtomicBoolean()
        private val stall = StallWatch(probes, options, clock)
        private var next = work.emitted.size

        private val call: Call = pools.streamClient(first.address).newCall(
            Request.Builder()
                .url(engines.url(first.address, "/v1/stream"))
                .record(record)
                .post(OneShotBody(body().toByteArray(), JsonType))
                .build()
        )

        fun start() = call.enqueue(this)

        /** Fails the attempt when tokens stop although the first engine still sends pings. */
        suspend fun watch() = fail(stall.silentHop { work.hops }, HopFailure.SILENT)

        fun close() {
            call.cancel()
            if (completed.get()) return
            work.hops.forEach { engines.cancel(it, work.request.value, work.attempt) }
        }

        override fun onFailure(call: Call, e: IOException) = fail(first, record.failureOf(e))

        override fun onResponse(call: Call, response: Response) {
            try {
                response.use(::read)
            } catch (e: IOException) {
                fail(first, if (e.isTimeout()) HopFailure.SILENT else HopFailure.BROKEN)
            } catch (e: IllegalArgumentException) {
                fail(first, HopFailure.MISMATCH)
            }
        }

        private fun read(response: Response) {
            if (!response.isSuccessful) {
                fail(first, statedFailure(response.code, response.body.string()))
                return
            }
            val events = SseReader(response.body.source())
            while (!ended.get()) {
                val event = events.next()
                when (event?.name) {
                    null -> fail(first, HopFailure.TRUNCATED)
                    "token" -> token(WireJson.decodeFromString(event.data))
                    "done" -> done(WireJson.decodeFromString(event.data))
                    "failed" -> failed(WireJson.decodeFromString(event.data))
                }
            }
        }

        private fun token(event: TokenEvent) {
            val matches = event.request == work.request && event.attempt == work.attempt &&
                event.index == next && next < work.maxTokens && event.lineage == lineage
            if (!matches) {
                fail(first, HopFailure.MISMATCH)
                return
            }
            next++
            stall.progressed()
            scope.trySend(StreamEvent.Token(event))
        }

        private fun done(message: DoneMessage) {
            val matches = message.request == work.request.value &&
                message.attempt == work.attempt && message.count == next
            if (!matches) {
                fail(first, HopFailure.MISMATCH)
                return
            }
            completed.set(true)
            end(StreamEvent.Done(message.count, message.finishReason))
        }

        private fun failed(message: FailedMessage) {
            val hop = work.hops.firstOrNull { it.instance == InstanceId(message.instance) }
            val matches = message.request == work.request.value && message.attempt == work.attempt
            if (hop == null || !matches) {
                fail(first, HopFailure.MISMATCH)
            } else {
                fail(hop, wireFailure(message.error))
            }
        }

        private fun fail(hop: StageHop, failure: HopFailure) {
            if (failure == HopFailure.SILENT) pools.evict(hop.address)
            end(StreamEvent.Failed(hop.instance, failure))
        }

        private fun end(event: StreamEvent) {
            if (!ended.compareAndSet(false, true)) return
            scope.trySend(event)
            scope.close()
        }

        private fun body(): String = WireJson.encodeToString(
            StreamMessage(
                request = work.request.value,
                attempt = work.attempt,
                model = work.model.value,
                version = work.version,
                route = work.hops,
                prompt = work.prompt,
                emitted = work.emitted,
                maxTokens = work.maxTokens,
                priority = work.priority
            )
        )
    }
}
