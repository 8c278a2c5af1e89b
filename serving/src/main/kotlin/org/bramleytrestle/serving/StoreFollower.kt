package org.bramleytrestle.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.guarded

/**
 * Keeps this node's [copies] of store objects up to date with few calls to the store.
 *
 * The first [READERS] nodes of a data centre read the store; the others ask one of them every
 * [ASK_INTERVAL]. An answer states how long ago the store confirmed it, so a source that is cut off,
 * paused or late is noticed, and the node asks the next one, and then the store itself. While the
 * store does not answer this node either, it keeps asking its sources and tests the store at a
 * bounded rate.
 *
 * @param candidates live nodes of this data centre including this one, in the order in which they
 * are chosen as readers; empty while they are not known.
 * @param ask sends a question to a node; null if it cannot answer.
 * @param readStore reads the store until cancelled; others follow this node or may do so.
 * @param storeAnswers makes one call to the store.
 * @param failures failures of backend servers, exchanged with the same questions and answers.
 * @param loads loads of model servers, exchanged likewise.
 */
public class StoreFollower(
    private val own: InstanceId,
    private val copies: List<KindCopy>,
    private val candidates: () -> List<InstanceId>,
    private val ask: suspend (InstanceId, ByteArray) -> ByteArray?,
    private val readStore: suspend (followed: Boolean) -> Unit,
    private val storeAnswers: suspend () -> Boolean,
    private val failures: FailureExchange? = null,
    private val loads: LoadExchange? = null,
    private val now: () -> Moment = Moment::now,
    private val random: Random = Random.Default
) {
    private val startedAt = now()
    private var reading: Job? = null
    private var readingSince = startedAt
    private var nextTest = startedAt
    private var source: InstanceId? = null
    private var readsForOthers = false

    /** Whether this node reads the store itself; for metrics. */
    @Volatile
    public var reads: Boolean = false
        private set

    /** Follows or reads until cancelled. */
    public suspend fun run(): Unit = coroutineScope {
        while (true) {
            guarded("store") { step(this) }
            delay(ASK_INTERVAL)
        }
    }

    /** Answers another node's question from this node's copies. */
    public fun answer(from: InstanceId, question: ByteArray): ByteArray? {
        val asked = try {
            RelayCodec.question(question)
        } catch (e: SerializationException) {
            log.warn { "store: question of a node cannot be read: ${e.message}" }
            return null
        }
        val known = copies.filter { it.kind in asked.versions }
            .mapNotNull { it.answer(asked.versions[it.kind]?.takeIf { version -> version >= 0 }) }
        failures?.record(from, asked.failed)
        loads?.apply(asked.loads)
        // Followers that take each other for a source would agree on an old state.
        val kinds = if (reads) known else known.map { it.copy(failing = true) }
        return RelayCodec.encode(
            RelayAnswer(kinds, failures?.agreed().orEmpty(), loads?.all().orEmpty())
        )
    }

    private suspend fun step(scope: CoroutineScope) {
        val ordered = candidates()
        val rank = ordered.indexOf(own)
        val settled = now().since(startedAt) >= SETTLE_TIME
        if (rank in 0 until READERS || settled && ordered.size < MIN_FOLLOWED_NODES) {
            read(scope, "rank=$rank of ${ordered.size}", ordered.size >= MIN_FOLLOWED_NODES)
            return
        }
        val others = ordered.filter { it != own }
        if (askSources(others)) {
            nextTest = now()
            stopReading()
            return
        }
        if (reading?.isActive == true) return
        // A node without any copy lists at once; the others spread their tests of the store.
        if (now().monotonicNanos - nextTest.monotonicNanos < 0) return
        nextTest = now() + TEST_INTERVAL * (1 + random.nextDouble())
        if (others.isEmpty() && !settled) return
        if (testStore()) read(scope, "no source in time, sources=${others.size}", true)
    }

    /**
     * Asks the source, and then the other nodes at once: a node that is cut off from all of them
     * must have the time to read the store itself. Returns whether one of them is in time.
     */
    private suspend fun askSources(others: List<InstanceId>): Boolean {
        val known = source?.takeIf { it in others.take(READERS) }
        if (known != null) {
            val askedAt = now()
            if (askOne(known, ASK_TIMEOUT)) return true
            log.info {
                "store: node ${known.value} is no source any more, asked " +
                    "${now().since(askedAt)} ago, copies confirmed ${copies.map { it.age }} ago"
            }
        }
        val rest = others.take(MAX_SOURCES) - listOfNotNull(known).toSet()
        val inTime = coroutineScope {
            rest.map { async { it.takeIf { askOne(it, OTHERS_TIMEOUT) } } }.awaitAll()
        }
        val found = inTime.firstNotNullOfOrNull { it } ?: return false
        log.info { "store: reading from node ${found.value}, before from ${source?.value}" }
        source = found
        return true
    }

    private suspend fun askOne(node: InstanceId, timeout: Duration): Boolean {
        val askedAt = now()
        val versions = copies.associate { it.kind to (it.version ?: UNKNOWN) }
        val question = RelayQuestion(
            versions,
            failures?.observed().orEmpty(),
            loads?.own().orEmpty()
        )
        val bytes = withTimeoutOrNull(timeout) { ask(node, RelayCodec.encode(question)) }
            ?: return false
        return try {
            val answer = RelayCodec.answer(bytes)
            failures?.apply(answer.failed)
            loads?.apply(answer.loads)
            val answers = answer.kinds.associateBy { it.kind }
            copies.all { copy ->
                val found = answers[copy.kind] ?: return false
                val before = copy.version ?: UNKNOWN
                copy.apply(found, askedAt)
                val age = found.ageMillis?.milliseconds
                found.version >= before && !found.failing && age != null &&
                    age <= copy.longestWait + AGE_MARGIN
            }
        } catch (e: SerializationException) {
            log.warn { "store: answer of node ${node.value} cannot be read: ${e.message}" }
            false
        }
    }

    /** A call that ends at its time limit closes its silent connection; the next one opens one. */
    private suspend fun testStore(): Boolean {
        val sentAt = now()
        return storeAnswers() || now().since(sentAt) >= SILENT_CALL_TIME && storeAnswers()
    }

    private fun read(scope: CoroutineScope, reason: String, followed: Boolean) {
        if (reading?.isActive == true && followed == readsForOthers) return
        reading?.cancel()
        readsForOthers = followed
        log.info { "store: this node reads the store, $reason" }
        reading = scope.launch { guarded("store") { readStore(followed) } }
        readingSince = now()
        source = null
        reads = true
    }

    private fun stopReading() {
        val job = reading ?: return
        // A source that is in time only now and then would make the node start over and over.
        if (now().since(readingSince) < MIN_READING_TIME) return
        log.info { "store: this node stops reading the store, source=${source?.value}" }
        job.cancel()
        reading = null
        reads = false
    }

    public companion object {
        private val log = KotlinLogging.logger {}

        /** Readers in a data centre: one may fail while the other serves all followers. */
        public const val READERS: Int = 2

        /** With fewer nodes, followers would hardly save calls. */
        internal const val MIN_FOLLOWED_NODES = 4

        /** The readers and the two nodes that succeed them. */
        internal const val MAX_SOURCES = 4
        private const val UNKNOWN = -1L

        /** Part of the shortest time in which a configuration has to be in force, 2 s. */
        internal val ASK_INTERVAL = 400.milliseconds
        internal val ASK_TIMEOUT = 500.milliseconds

        /** Many times the usual time of an answer; leaves the time for a call to the store. */
        internal val OTHERS_TIMEOUT = 250.milliseconds

        /** Time of a call to the store after which its connection may be silent. */
        internal val SILENT_CALL_TIME = 500.milliseconds

        /** Time of a slow call to the store, by which a healthy source's age exceeds its wait. */
        internal val AGE_MARGIN = 700.milliseconds

        /** Time in which a node that has started learns of the others. */
        internal val SETTLE_TIME = 1_500.milliseconds
        internal val TEST_INTERVAL = 1_500.milliseconds
        internal val MIN_READING_TIME = 1.seconds
    }
}
