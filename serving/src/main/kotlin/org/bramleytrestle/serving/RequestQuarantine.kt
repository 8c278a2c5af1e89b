package org.bramleytrestle.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.bramleytrestle.model.ErrorKind

/**
 * Keeps requests from backend servers if they, or a part of their prompt, crash each server that
 * answers them.
 *
 * A request is suspect if its connection breaks before its answer is complete and the server has
 * ended. So are its parts of which this node knows no answer that got clearly further. Nodes share the
 * evidence, because the requests arrive at any of them, and blame parts by [SuspectParts]. A request
 * that ended several servers, whatever its parts, and was never answered is blamed itself.
 *
 * @param hasEnded whether the start of a server that is given no longer answers; may block.
 * @param share makes evidence known to all nodes, merged with what they know.
 * @param mayClear whether this node is one of those that clear suspect parts for all nodes.
 */
public class RequestQuarantine(
    private val hasEnded: (BackendServer) -> Boolean,
    private val schedule: (delay: Duration, task: () -> Unit) -> Unit,
    private val share: (CrashEvidence) -> Unit,
    private val mayClear: () -> Boolean = { true },
    private val now: () -> Moment = Moment::now,
    private val random: Random = Random.Default
) {
    private data class Break(
        val content: RequestContent,
        val begun: Boolean,
        val extent: AnswerExtent
    )

    /**
     * What is withheld or may have to be, decided from all evidence.
     *
     * @property groups blamed parts; a request with all parts of a group is withheld.
     * @property requests ids of requests that are withheld themselves.
     * @property suspects parts that an answer would clear.
     * @property suspectRequests ids of requests that an answer would clear.
     */
    private data class Blocks(
        val groups: Set<Set<String>> = emptySet(),
        val requests: Set<String> = emptySet(),
        val suspects: Set<String> = emptySet(),
        val suspectRequests: Set<String> = emptySet()
    )

    private val blocks = AtomicReference(Blocks())
    private val partExtents = AnswerExtents()
    private val requestExtents = AnswerExtents()
    private val clearing = AtomicBoolean()

    /** Broken requests of servers whose end is being checked. */
    private val unchecked = ConcurrentHashMap<BackendServer, List<Break>>()
    private val observed = HashMap<String, CrashEvidence>()
    private var shared = emptyMap<String, CrashEvidence>()

    /** Whether the evidence that nodes have shared is known; a node that starts must read it. */
    @Volatile
    public var isLoaded: Boolean = false
        private set

    /** Groups of parts; requests with all parts of one of them are kept from servers. */
    public val blockedGroups: Set<Set<String>> get() = blocks.get().groups

    /** Whether a request with [content] must not reach a server. */
    public fun blocks(content: RequestContent): Boolean = refusalOf(content) != null

    /** Why a request with [content] must not reach a server; null if it may. */
    public fun refusalOf(content: RequestContent): ErrorKind? {
        val current = blocks.get()
        val kind = when {
            current.groups.any(content::containsAll) -> ErrorKind.PROMPT_WITHHELD
            content.id in current.requests -> ErrorKind.REQUEST_WITHHELD
            else -> return null
        }
        renew(content)
        return kind
    }

    /** Records that an answer to [content] is complete. */
    public fun onAnswered(content: RequestContent): Unit =
        onProgress(content, AnswerExtent.COMPLETE)

    /**
     * Records that an answer to [content] that is still running has got to [events] events, [ran]
     * after it began. Called after each event.
     */
    public fun onEvent(content: RequestContent, events: Int, ran: Duration) {
        if (AnswerExtent.isRecordedAt(events)) onProgress(content, AnswerExtent(events, ran))
    }

    private fun onProgress(content: RequestContent, extent: AnswerExtent) {
        requestExtents.record(content.id, extent)
        for (part in content.parts) partExtents.record(part, extent)
        val current = blocks.get()
        val clearsParts =
            current.suspects.isNotEmpty() && content.parts.any { it in current.suspects }
        scheduleClearing(content.id in current.suspectRequests, clearsParts)
    }

    /**
     * Records that the connection to [server] broke before the answer to [content] was complete.
     *
     * @param begun whether the head of the answer had arrived.
     * @param events events that had arrived since then.
     * @param ran time since then.
     */
    public fun onBroken(
        content: RequestContent,
        server: BackendServer,
        begun: Boolean,
        events: Int = 0,
        ran: Duration = Duration.ZERO
    ) {
        val broken = Break(content, begun, AnswerExtent(events, ran))
        if (isCleared(broken)) return
        val earlier = unchecked.merge(server, listOf(broken)) { a, b -> a + b }!!
        if (earlier.size > 1) return
        schedule(CHECK_DELAY) {
            var ended = false
            try {
                ended = hasEnded(server)
            } finally {
                // A check that fails must not keep later breaks at the server from theirs.
                val broken = unchecked.remove(server).orEmpty()
                if (ended) broken.forEach { recordLater(it, server) }
            }
        }
    }

    /**
     * Most answers that break long after their beginning met the crash by chance. Others with the
     * same parts show this soon, as they get further on other servers.
     */
    private fun recordLater(broken: Break, server: BackendServer) {
        if (broken.extent.events < AnswerExtent.BEGINNING_EVENTS) return record(broken, server)
        val wait = minOf(broken.extent.ran * AnswerExtent.MARGIN, MAX_PROGRESS_WAIT)
        schedule(wait) { record(broken, server) }
    }

    private fun isCleared(broken: Break) = requestExtents.isBeyond(broken.content.id, broken.extent)

    private fun isAnswered(evidence: CrashEvidence) =
        requestExtents.isBeyond(evidence.request, evidence.extent)

    /** Replaces what all nodes have shared. */
    @Synchronized
    public fun update(evidence: Collection<CrashEvidence>) {
        shared = evidence.associateBy { it.request }
        isLoaded = true
        observed.values.removeIf(::isShared)
        refresh()
        val evident = known()
        scheduleClearing(
            evident.any { !it.answered && isAnswered(it) },
            evident.any { it.suspects.any { part -> partExtents.isBeyond(part, it.extent) } }
        )
    }

    /** Goes on with [evidence] that the store has lost, until it is stored again. */
    @Synchronized
    public fun keep(evidence: Collection<CrashEvidence>) {
        if (evidence.isEmpty()) return
        log.warn { "prompts: evidence lost by the store=${evidence.map { it.request }}" }
        for (lost in evidence) observed.merge(lost.request, lost, CrashEvidence::merge)
        // Most nodes find that another one has stored it.
        schedule(MAX_CLEAR_DELAY * random.nextDouble()) {
            if (mayClear()) unshared(evidence.map { it.request }).forEach(share)
        }
    }

    @Synchronized
    private fun unshared(requests: Collection<String>) =
        requests.mapNotNull { observed[it] }.filterNot(::isShared)

    private fun isShared(own: CrashEvidence): Boolean =
        shared[own.request].let { it != null && it.merge(own) == it }

    /** Decides anew from the evidence that has not expired. */
    @Synchronized
    public fun refresh() {
        val oldest = now().wallMillis - LIFETIME.inWholeMilliseconds
        observed.values.removeIf { it.seenMillis < oldest }
        val current = known().filter { it.seenMillis >= oldest }
        val found = SuspectParts.find(current.filter { it.suspects.isNotEmpty() })
        val explained = found.explainedServers
        val unanswered = current.filterNot { it.answered }
        val requests = SuspectRequests.find(
            unanswered.map { it.copy(servers = it.servers - explained) }
        )
        val next = Blocks(
            found.groups,
            requests,
            current.flatMapTo(mutableSetOf()) { it.suspects },
            unanswered.mapTo(mutableSetOf()) { it.request }
        )
        val before = blocks.getAndSet(next)
        if (next.groups != before.groups) {
            val (blocked, earlier) = listOf(next, before).map { it.groups.map(::summarise) }
            log.warn { "prompts: blocked=$blocked, before $earlier" }
        }
        if (next.requests != before.requests) {
            log.warn { "prompts: blocked requests=${next.requests}, before ${before.requests}" }
        }
    }

    @Synchronized
    private fun record(broken: Break, server: BackendServer) {
        val (content, begun, extent) = broken
        if (isCleared(broken)) return
        val suspects =
            content.parts.filterNotTo(mutableSetOf()) { partExtents.isBeyond(it, extent) }
        val found = CrashEvidence(
            content.id,
            suspects,
            servers = setOf("${server.id}@${server.bornMillis}"),
            begun = begun,
            seenMillis = now().wallMillis,
            events = extent.events,
            ranMillis = extent.ran.inWholeMilliseconds
        )
        val merged = observed[content.id]?.merge(found) ?: found
        log.warn { "prompts: server=${server.id} ended, $merged" }
        observed[content.id] = merged
        refresh()
        val known = shared[content.id]?.merge(merged) ?: merged
        val mayBeSound = content.parts.isNotEmpty() && suspects.isEmpty() &&
            (!merged.begun || extent.events >= AnswerExtent.BEGINNING_EVENTS)
        if (mayBeSound && known.servers.size == 1) {
            // Most of these requests are answered by another server soon.
            schedule(ANSWER_WAIT) { shareUnanswered(content.id) }
        } else {
            share(merged)
        }
    }

    @Synchronized
    private fun shareUnanswered(request: String) {
        unshared(listOf(request)).filterNot(::isAnswered).forEach(share)
    }

    /**
     * Many nodes have an answer to a part at the same time; a few clear it, and most of these find
     * it cleared after a delay. The answer to a request may be known to a single node.
     */
    private fun scheduleClearing(clearsRequest: Boolean, clearsPart: Boolean) {
        if (!clearsRequest && !(clearsPart && mayClear())) return
        if (!clearing.compareAndSet(false, true)) return
        schedule(MAX_CLEAR_DELAY * random.nextDouble()) {
            clearing.set(false)
            clearAnswered()
        }
    }

    /** Clears the suspect requests and parts of which this node knows an answer. */
    @Synchronized
    private fun clearAnswered() {
        val clearsParts = mayClear()
        for (evidence in known()) {
            val cleared = evidence.copy(
                suspects = evidence.suspects.filterNotTo(mutableSetOf()) {
                    clearsParts && partExtents.isBeyond(it, evidence.extent)
                },
                answered = evidence.answered || isAnswered(evidence)
            )
            if (cleared == evidence) continue
            if (cleared.answered && cleared.suspects.isEmpty() && evidence.request !in shared) {
                // Evidence that is being stored is cleared once this node has read it.
                observed -= evidence.request
                continue
            }
            log.info {
                "prompts: request=${evidence.request} answered=${cleared.answered} " +
                    "suspects=${summarise(cleared.suspects)}, others answered"
            }
            observed[evidence.request] = cleared
            share(cleared)
        }
        refresh()
    }

    /**
     * Extends the evidence against [content] while requests with it still come, unless it rests on
     * so few crashes that they may have had another cause.
     */
    private fun renew(content: RequestContent) {
        val at = now().wallMillis
        val due = synchronized(this) {
            known().filter { evidence ->
                val concerns = evidence.request == content.id && isCertain(evidence) ||
                    content.parts.any { it in evidence.suspects }
                at - evidence.seenMillis >= RENEWAL_AGE.inWholeMilliseconds && concerns
            }.map { it.copy(seenMillis = at) }.onEach { observed[it.request] = it }
        }
        due.forEach(share)
    }

    private fun isCertain(evidence: CrashEvidence) = evidence.servers.size >= CERTAIN_SERVERS

    private fun known(): List<CrashEvidence> = (shared.keys + observed.keys).map { request ->
        val own = observed[request]
        val others = shared[request]
        if (own != null && others != null) own.merge(others) else checkNotNull(own ?: others)
    }

    public companion object {
        private val log = KotlinLogging.logger {}

        /** Time for which evidence counts after the last crash or refused request. */
        public val LIFETIME: Duration = 10.minutes
        private val RENEWAL_AGE = 5.minutes

        /** Requests that break together are checked together. */
        private val CHECK_DELAY = 20.milliseconds
        private val MAX_CLEAR_DELAY = 1.seconds

        /** The time within which all nodes must withhold a request that crashes servers. */
        private val MAX_PROGRESS_WAIT = 3.seconds

        /** A third of the time within which all nodes must withhold a request that crashes servers. */
        private val ANSWER_WAIT = 1.seconds

        /** Servers that a request has ended after which no other cause is likely. */
        private const val CERTAIN_SERVERS = 3
    }
}
