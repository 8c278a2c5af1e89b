package org.bramleytrestle.cluster

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.TimeSource
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.settings.Change

/** Runs a [ClusterCore] over a [Transport]. A single coroutine processes all inputs in order. */
internal class ClusterNode(
    private val settings: ClusterSettings,
    listener: ClusterListener,
    private val transport: Transport,
    private val scope: CoroutineScope,
    clock: TimeSource,
    startSeconds: Long,
    random: Random,
    reportBytesPerSecond: Int,
    wantsReport: (InstanceId, InstanceId) -> Boolean
) : Cluster,
    ClusterCore.Output {
    private val origin = clock.markNow()
    private val inputs = Channel<(ClusterCore) -> Unit>(Channel.UNLIMITED)
    private val core = ClusterCore(
        settings,
        listener,
        random,
        this,
        startSeconds,
        now(),
        reportBytesPerSecond,
        wantsReport
    )

    /** Received frames that wait to be processed; peers that send more of them have to wait. */
    private val unprocessed = Semaphore(MAX_UNPROCESSED_FRAMES)
    private val mutableMembers = MutableStateFlow(core.members())
    private var jobs = emptyList<Job>()
    private val nextQuestion = AtomicInteger()
    private val questions = ConcurrentHashMap<Int, CompletableDeferred<ByteArray?>>()

    override val members: StateFlow<Map<InstanceId, Member>> = mutableMembers.asStateFlow()

    override suspend fun start() {
        transport.start { from, frame ->
            unprocessed.acquire()
            input {
                try {
                    it.receive(from, frame, now())
                } finally {
                    unprocessed.release()
                }
            }
        }
        jobs = listOf(
            scope.launch {
                for (action in inputs) {
                    runCatching { action(core) }
                        .onFailure { log.error(it) { "cluster: processing an input failed" } }
                }
            },
            scope.launch {
                while (true) {
                    val done = CompletableDeferred<Unit>()
                    input {
                        try {
                            it.tick(now())
                            mutableMembers.value = it.members()
                        } finally {
                            done.complete(Unit)
                        }
                    }
                    // Waits for the tick to run, so that ticks do not queue up behind a slow input.
                    done.await()
                    delay(settings.intervals.heartbeat / TICKS_PER_HEARTBEAT)
                }
            }
        )
    }

    override fun addSeeds(peerAddresses: Collection<String>): Unit =
        input { it.addSeeds(peerAddresses) }

    override fun pushChanges(changes: List<Change>): Unit = input { it.pushChanges(changes) }

    override fun shareReports(reports: List<LoadReport>): Unit = input { it.shareReports(reports) }

    override fun sendDemand(to: InstanceId, demand: List<LimitDemand>): Unit =
        input { it.sendDemand(to, demand) }

    override fun sendGrants(to: InstanceId, grants: List<LimitGrant>): Unit =
        input { it.sendGrants(to, grants) }

    override suspend fun ask(to: InstanceId, question: ByteArray): ByteArray? {
        val answer = CompletableDeferred<ByteArray?>()
        val sequence = nextQuestion.incrementAndGet()
        questions[sequence] = answer
        try {
            input { if (!it.ask(to, sequence, question)) answer.complete(null) }
            return answer.await()
        } finally {
            questions -= sequence
        }
    }

    override fun onAnswer(sequence: Int, answer: ByteArray) {
        questions[sequence]?.complete(answer)
    }

    override fun leave(): Unit = input { it.leave() }

    override fun cancelLeave(): Unit = input { it.cancelLeave() }

    override suspend fun stop() {
        if (jobs.isNotEmpty()) {
            val done = CompletableDeferred<Unit>()
            input {
                it.stop()
                done.complete(Unit)
            }
            done.await()
            jobs.forEach { it.cancelAndJoin() }
        }
        transport.stop()
    }

    override fun send(to: String, frame: ByteArray, delivery: Delivery) {
        transport.send(to, frame, delivery)
    }

    override fun replaceIfUnresponsive(to: String) {
        transport.replaceIfUnresponsive(to)
    }

    private fun input(action: (ClusterCore) -> Unit) {
        inputs.trySend(action)
    }

    private fun now(): Long = origin.elapsedNow().inWholeMilliseconds

    private companion object {
        private val log = KotlinLogging.logger {}

        const val TICKS_PER_HEARTBEAT = 5

        /** A frame has up to 1 MB; usual ones are far smaller and processed at once. */
        const val MAX_UNPROCESSED_FRAMES = 32
    }
}
