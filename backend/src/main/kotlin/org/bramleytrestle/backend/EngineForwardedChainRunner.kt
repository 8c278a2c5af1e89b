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
import org.bramleytrestle.http.boundedText
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.Invariants
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.LineageStep
import org.bramleytrestle.model.StageHop
import org.bramleytrestle.model.TokenEvent

/**
 * Sends the route to the first engine and reads a single token stream. The pings in the stream only
 * show that the first engine is alive. When tokens stop, every hop is therefore probed on a new
 * connection to find the failed one.
 */
internal class EngineForwardedChainRunner(
    private val pools: HttpPools,
    private val options: BackendOptions,
    private val probes: HealthProbes,
    private val clock: TimeSource = TimeSource.Monotonic
) : ChainRunner {
    private val engines = EngineCalls(pools, options)

    override fun run(work: ChainWork): Flow<StreamEvent> {
        work.checkLayerCoverage()
        return callbackFlow {
            val attempt = Attempt(work, this)
            attempt.start()
            launch { attempt.failOnStall() }
            awaitClose { attempt.close() }
        }.buffer(work.maxEvents)
    }

    private inner class Attempt(
        private val work: ChainWork,
        private val scope: ProducerScope<StreamEvent>
    ) : Callback {
        private val first = work.hops.first()
        private val expectedLineage = work.hops.map { LineageStep(it.instance, it.layers) }
        private val record = SendRecord()
        private val ended = AtomicBoolean()
        private val completed = AtomicBoolean()
        private val stallDetector = StallDetector(probes, options, clock)
        private var nextIndex = work.emitted.size

        private val call: Call = pools.streamClient(first.address).newCall(
            Request.Builder()
                .url(engines.url(first.address, "/v1/stream"))
                .recordSends(record)
                .post(OneShotBody(requestBody().toByteArray(), JsonType))
                .build()
        )

        fun start() = call.enqueue(this)

        /** Fails the attempt if no token arrives although the first engine still sends pings. */
        suspend fun failOnStall() {
            val hop = stallDetector.awaitFailedHop { work.hops }
            fail(hop, HopFailure.SILENT)
        }

        fun close() {
            call.cancel()
            if (completed.get()) return
            work.hops.forEach { engines.cancel(it, work.request.value, work.attempt) }
        }

        override fun onFailure(call: Call, e: IOException) = fail(first, record.failureOf(e))

        override fun onResponse(call: Call, response: Response) {
            try {
                response.use(::readEvents)
            } catch (e: IOException) {
                fail(first, if (e.isTimeout()) HopFailure.SILENT else HopFailure.BROKEN)
            } catch (e: IllegalArgumentException) {
                fail(first, HopFailure.MISMATCH)
            }
        }

        private fun readEvents(response: Response) {
            if (!response.isSuccessful) {
                fail(
                    first,
                    failureFromResponse(
                        response.code,
                        response.boundedText(EngineCalls.MAX_BODY_BYTES)
                    )
                )
                return
            }
            val events = SseReader(response.body.source())
            while (!ended.get()) {
                val event = events.next()
                when (event?.name) {
                    null -> fail(first, HopFailure.TRUNCATED)
                    "token" -> onToken(WireJson.decodeFromString(event.data))
                    "done" -> onDone(WireJson.decodeFromString(event.data))
                    "failed" -> onFailed(WireJson.decodeFromString(event.data))
                }
            }
        }

        private fun onToken(event: TokenEvent) {
            val matches = event.request == work.request && event.attempt == work.attempt &&
                event.index == nextIndex && nextIndex < work.maxTokens &&
                event.lineage == expectedLineage
            if (!matches) {
                fail(first, HopFailure.MISMATCH)
                return
            }
            nextIndex++
            stallDetector.recordProgress()
            scope.trySend(StreamEvent.Token(event))
        }

        private fun onDone(message: DoneMessage) {
            val matches = message.request == work.request.value &&
                message.attempt == work.attempt && message.count == nextIndex
            if (!matches) {
                fail(first, HopFailure.MISMATCH)
                return
            }
            completed.set(true)
            end(StreamEvent.Done(message.count, message.finishReason))
        }

        private fun onFailed(message: FailedMessage) {
            val hop = work.hops.firstOrNull { it.instance == InstanceId(message.instance) }
            val matches = message.request == work.request.value && message.attempt == work.attempt
            if (hop == null || !matches) {
                fail(first, HopFailure.MISMATCH)
            } else {
                fail(hop, failureFromWire(message.error))
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

        private fun requestBody(): String = WireJson.encodeToString(
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
