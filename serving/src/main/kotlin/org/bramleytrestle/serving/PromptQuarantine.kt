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

/**
 * Keeps requests from backend servers if a part of their prompt crashes each server that answers
 * it.
 *
 * A request is suspect if its connection breaks before its answer has got past its beginning and
 * the server has ended. Its parts of which this node knows an answer are not suspect. Nodes share
 * the evidence, because the requests arrive at any of them, and blame parts by [SuspectParts]. A
 * prompt that ended two servers is not sent to a third one meanwhile.
 *
 * @param hasEnded whether the start of a server that is given no longer answers; may block.
 * @param share makes evidence known to all nodes, merged with what they know.
 * @param mayClear whether this node is one of those that clear suspect parts for all nodes.
 */
public class PromptQuarantine(
    private val hasEnded: (BackendServer) -> Boolean,
    private val schedule: (delay: Duration, task: () -> Unit) -> Unit,
    private val share: (CrashEvidence) -> Unit,
    private val mayClear: () -> Boolean = { true },
    private val now: () -> Moment = Moment::now,
    private val random: Random = Random.Default
) {
    private data class Break(val prompt: Prompt, val begun: Boolean)

    private data class Blocks(
        val groups: Set<Set<String>> = emptySet(),
        val prompts: Set<String> = emptySet(),
        val suspects: Set<String> = emptySet()
    )

    private val blocks = AtomicReference(Blocks())
    private val answered = AnsweredParts()
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

    /** Whether a request with [prompt] must not reach a server. */
    public fun blocks(prompt: Prompt?): Boolean {
        if (prompt == null) return false
        val current = blocks.get()
        val blocked = prompt.own in current.prompts ||
            current.groups.any { prompt.shared.containsAll(it) }
        if (blocked) renew(prompt)
        return blocked
    }

    /** Records that an answer to [prompt] got past its beginning. */
    public fun onAnswered(prompt: Prompt?) {
        if (prompt == null) return
        prompt.shared.forEach(answered::add)
        val suspects = blocks.get().suspects
        if (suspects.isNotEmpty() && prompt.shared.any { it in suspects }) scheduleClearing()
    }

    /**
     * Records that the connection to [server] broke before the answer to [prompt] got past its
     * beginning.
     *
     * @param begun whether the head of the answer had arrived.
     */
    public fun onBroken(prompt: Prompt?, server: BackendServer, begun: Boolean) {
        if (prompt == null || prompt.shared.all { it in answered }) return
        val earlier = unchecked.merge(server, listOf(Break(prompt, begun))) { a, b -> a + b }!!
        if (earlier.size > 1) return
        schedule(CHECK_DELAY) {
            val ended = hasEnded(server)
            val broken = unchecked.remove(server).orEmpty()
            if (ended) broken.forEach { record(it, server) }
        }
    }

    /** Replaces what all nodes have shared. */
    @Synchronized
    public fun update(evidence: Collection<CrashEvidence>) {
        shared = evidence.associateBy { it.prompt }
        isLoaded = true
        observed.values.removeIf(::isShared)
        refresh()
        if (blocks.get().suspects.any { it in answered }) scheduleClearing()
    }

    /** Goes on with [evidence] that the store has lost, until it is stored again. */
    @Synchronized
    public fun keep(evidence: Collection<CrashEvidence>) {
        if (evidence.isEmpty()) return
        log.warn { "prompts: evidence lost by the store=${evidence.map { it.prompt }}" }
        for (lost in evidence) observed.merge(lost.prompt, lost, CrashEvidence::merge)
        // Most nodes find that another one has stored it.
        schedule(MAX_CLEAR_DELAY * random.nextDouble()) {
            if (mayClear()) unshared(evidence.map { it.prompt }).forEach(share)
        }
    }

    @Synchronized
    private fun unshared(prompts: Collection<String>) =
        prompts.mapNotNull { observed[it] }.filterNot(::isShared)

    private fun isShared(own: CrashEvidence): Boolean =
        shared[own.prompt].let { it != null && it.merge(own) == it }

    /** Decides anew from the evidence that has not expired. */
    @Synchronized
    public fun refresh() {
        val oldest = now().wallMillis - LIFETIME.inWholeMilliseconds
        observed.values.removeIf { it.seenMillis < oldest }
        val current = known().filter { it.seenMillis >= oldest && it.suspects.isNotEmpty() }
        val found = SuspectParts.find(current)
        val next = Blocks(
            found.groups,
            found.unexplained.filter { it.servers.size >= MAX_SERVERS_PER_PROMPT }
                .mapTo(mutableSetOf()) { it.prompt },
            current.flatMapTo(mutableSetOf()) { it.suspects }
        )
        val before = blocks.getAndSet(next)
        if (next.groups != before.groups) {
            log.warn { "prompts: blocked=${next.groups}, before ${before.groups}" }
        }
    }

    @Synchronized
    private fun record(broken: Break, server: BackendServer) {
        val (prompt, begun) = broken
        val suspects = prompt.shared.filterTo(mutableSetOf()) { it !in answered }
        if (suspects.isEmpty()) return
        val start = "${server.id}@${server.bornMillis}"
        val found =
            CrashEvidence(prompt.own, suspects, setOf(start), begun, now().wallMillis)
        val merged = observed[prompt.own]?.merge(found) ?: found
        log.warn { "prompts: server=${server.id} ended on prompt=${prompt.own} $merged" }
        observed[prompt.own] = merged
        refresh()
        share(merged)
    }

    /** Many nodes have an answer at the same time; most find the part cleared after a delay. */
    private fun scheduleClearing() {
        if (!mayClear() || !clearing.compareAndSet(false, true)) return
        schedule(MAX_CLEAR_DELAY * random.nextDouble()) {
            clearing.set(false)
            clearAnswered()
        }
    }

    /** Clears the suspect parts of which this node knows an answer. */
    @Synchronized
    private fun clearAnswered() {
        for (evidence in known()) {
            val suspects = evidence.suspects.filterNotTo(mutableSetOf()) { it in answered }
            if (suspects == evidence.suspects) continue
            log.info { "prompts: prompt=${evidence.prompt} suspects=$suspects, others answered" }
            val cleared = evidence.copy(suspects = suspects)
            observed[evidence.prompt] = cleared
            share(cleared)
        }
        refresh()
    }

    /** Extends the evidence against [prompt] while requests with it still come. */
    private fun renew(prompt: Prompt) {
        val at = now().wallMillis
        val due = synchronized(this) {
            known().filter { evidence ->
                at - evidence.seenMillis >= RENEWAL_AGE.inWholeMilliseconds &&
                    (evidence.prompt == prompt.own || prompt.shared.any { it in evidence.suspects })
            }.map { it.copy(seenMillis = at) }.onEach { observed[it.prompt] = it }
        }
        due.forEach(share)
    }

    private fun known(): List<CrashEvidence> = (shared.keys + observed.keys).map { prompt ->
        val own = observed[prompt]
        val others = shared[prompt]
        if (own != null && others != null) own.merge(others) else checkNotNull(own ?: others)
    }

    public companion object {
        private val log = KotlinLogging.logger {}

        /** Events after which an answer is past its beginning. */
        public const val BEGINNING_EVENTS: Int = 3

        /** Time for which evidence counts after the last crash or refused request. */
        public val LIFETIME: Duration = 10.minutes
        private val RENEWAL_AGE = 5.minutes

        /** Requests that break together are checked together. */
        private val CHECK_DELAY = 20.milliseconds
        private val MAX_CLEAR_DELAY = 1.seconds
        private const val MAX_SERVERS_PER_PROMPT = 2
    }
}
