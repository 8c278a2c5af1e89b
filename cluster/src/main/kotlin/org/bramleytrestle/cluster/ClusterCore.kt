package org.bramleytrestle.cluster

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.random.Random
import kotlinx.serialization.SerializationException
import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.settings.Change

/**
 * State machine of the protocol between members. Its inputs are the time in milliseconds of
 * a monotonic clock, received frames and calls of the node; it sends frames through [output]. It
 * uses no clock, threads or sockets, so that tests can run many members on virtual time. Not
 * thread-safe.
 */
internal class ClusterCore(
    private val settings: ClusterSettings,
    private val listener: ClusterListener,
    private val random: Random,
    private val output: Output,
    startSeconds: Long,
    now: Long,
    reportBytesPerSecond: Int,
    wantsReport: (InstanceId, InstanceId) -> Boolean
) : Sender {
    /** Transport operations that the protocol needs. */
    interface Output {
        fun send(to: String, frame: ByteArray, delivery: Delivery)

        fun replaceIfUnresponsive(to: String)

        fun onAnswer(sequence: Int, answer: ByteArray)
    }

    private val intervals = settings.intervals
    private val heartbeat = intervals.heartbeat.inWholeMilliseconds
    private val table = MemberTable(settings, startSeconds, now)
    private val dataCentres = DataCentreTable(intervals)
    private val detector =
        FailureDetector(table, intervals, random, this, output::replaceIfUnresponsive)
    private val dissemination = Dissemination(listener, this, ::fanOut)
    private val reports = ReportExchange(listener, this, reportBytesPerSecond, wantsReport)
    private val seeds = settings.seeds.toMutableSet()
    private val view = MemberView(table, dataCentres)

    private var now = now
    private var lastInputAt = now
    private var nextHeartbeat = now + random.nextLong(heartbeat)
    private val startedAt = now
    private var nextAntiEntropy = now + jittered(2 * heartbeat)
    private var nextSeed = now
    private var nextReports = now
    private var informedDelegates = emptyList<String>()
    private var sentRevision = -1L
    private var remoteIndex = random.nextInt(REMOTE_INDEX_BOUND)
    private val entryRequestedAt = HashMap<String, Long>()

    fun members(): Map<InstanceId, Member> = view.members(now)

    fun addSeeds(addresses: Collection<String>) {
        // A member that knows no other joins with the next tick.
        if (seeds.addAll(addresses) && table.all.size == 1) nextSeed = now
    }

    fun pushChanges(changes: List<Change>) {
        dissemination.push(changes)
    }

    fun shareReports(batch: List<LoadReport>) {
        val targets = table.all.filter { it !== table.self && it.state != MemberState.DEAD }
        reports.share(
            batch,
            targets,
            isBackup = { table.reporters(it).let { list -> table.self in list.drop(1) } },
            isReporter = { record, server -> record in table.reporters(server) },
            now
        )
    }

    fun sendDemand(to: InstanceId, demand: List<LimitDemand>) {
        val address = table[to.value]?.address ?: return
        sendBody(address, Delivery.REPLACEABLE) { Demand(it, demand) }
    }

    fun sendGrants(to: InstanceId, grants: List<LimitGrant>) {
        val address = table[to.value]?.address ?: return
        sendBody(address, Delivery.REPLACEABLE) { Grant(it, grants) }
    }

    /** Sends a question; returns false if the member is unknown. */
    fun ask(to: InstanceId, sequence: Int, question: ByteArray): Boolean {
        val address = table[to.value]?.address ?: return false
        sendBody(address, Delivery.REPLACEABLE) { Ask(it, sequence, question) }
        return true
    }

    fun leave() {
        if (table.self.state != MemberState.ALIVE && table.self.state != MemberState.SUSPECT) return
        table.leave(now)
        sendNewUpdates()
    }

    fun cancelLeave() {
        if (table.self.state != MemberState.LEAVING) return
        table.cancelLeave(now)
        sendNewUpdates()
    }

    fun stop() {
        table.markSelfDead(now)
        sendNewUpdates()
    }

    fun tick(time: Long) {
        now = time
        detectOwnPause()
        if (table.superseded) return
        detector.tick(now)
        table.expireSuspicions(now)
        sendRevisionToDelegates()
        if (now >= nextHeartbeat) {
            nextHeartbeat = maxOf(nextHeartbeat + heartbeat, now)
            onHeartbeat()
        }
        if (now >= nextAntiEntropy) {
            nextAntiEntropy = now + jittered(antiEntropyMillis())
            startTableComparison()
        }
        if (now >= nextSeed) {
            nextSeed = now + jittered(intervals.seedRetry.inWholeMilliseconds)
            contactSeedsAndDeadMembers()
        }
        if (now >= nextReports) {
            nextReports = now + REPORT_INTERVAL_MILLIS
            reports.flush(now)
        }
        sendNewUpdates()
    }

    fun receive(from: String, frame: ByteArray, time: Long) {
        now = time
        detectOwnPause()
        if (table.superseded) return
        val message = try {
            MessageCodec.decode(frame)
        } catch (e: SerializationException) {
            log.warn { "cluster: malformed message from $from dropped: ${e.message}" }
            return
        }
        val exchange = message.exchange
        if (message !is TableEntries) exchange.updates.forEach { table.apply(it, now) }
        exchange.dataCentres.forEach { dataCentres.merge(it, now) }
        val sender = table[exchange.from]
        if (sender == null) {
            requestEntry(from)
        } else {
            table.updateRevision(sender, exchange.revision)
        }
        handle(from, message)
        dissemination.onRevision(from, exchange.revision, now)
    }

    override fun send(to: String, build: (Exchange) -> Message) {
        val record = table.findByAddress(to)
        val crossDataCentre = record != null && record.dataCentre != table.self.dataCentre
        val updates =
            table.takePiggybackUpdates(UPDATES_PER_MESSAGE, crossDataCentre).toMutableList()
        // Lets a member that is reachable again refute its suspicion or death immediately.
        if (record != null && record.state.rank >= MemberState.SUSPECT.rank) {
            updates += record.toUpdate(withPlace = false)
        }
        val exchange = exchange(updates, dataCentres.statuses())
        output.send(to, MessageCodec.encode(build(exchange)), Delivery.REPLACEABLE)
    }

    override fun sendBody(to: String, delivery: Delivery, build: (Exchange) -> Message): Int {
        val frame = MessageCodec.encode(build(exchange(emptyList(), emptyList())))
        output.send(to, frame, delivery)
        return frame.size
    }

    private fun exchange(updates: List<MemberUpdate>, statuses: List<DataCentreStatus>) =
        Exchange(table.self.id, dissemination.revision, updates, statuses)

    private fun handle(from: String, message: Message) {
        when (message) {
            is Ping -> send(from) { Ack(it, message.sequence) }
            is Ack -> detector.onAck(message.sequence)
            is PingRequest -> detector.onPingRequest(from, message, now)
            is Updates -> Unit
            is TableDigests -> onDigests(from, message)
            is TableEntries -> onEntries(from, message)
            is ChangePush -> dissemination.onPush(from, message)
            is ChangeRequest -> dissemination.onChangeRequest(from, message.exchange.revision)
            is StateRequest -> dissemination.sendState(from, message.exchange.revision)
            is StateTransfer -> dissemination.onState(from, message, now)
            is Reports -> reports.onReports(message, now)
            is Demand -> listener.onDemand(InstanceId(message.exchange.from), message.demand)
            is Ask -> onAsk(from, message)
            is Answer -> output.onAnswer(message.sequence, message.body)
            is Grant -> listener.onGrants(InstanceId(message.exchange.from), message.grants)
        }
    }

    private fun onAsk(from: String, message: Ask) {
        val answer = listener.onAsk(InstanceId(message.exchange.from), message.body) ?: return
        sendBody(from, Delivery.REPLACEABLE) { Answer(it, message.sequence, answer) }
    }

    /** After a pause of this process, overdue answers say nothing about the state of the peers. */
    private fun detectOwnPause() {
        val gap = now - lastInputAt
        lastInputAt = now
        if (gap <= 2 * heartbeat) return
        log.info { "cluster: process paused for $gap ms; restarting failure detection" }
        detector.reset()
        table.excludePause(gap)
        dataCentres.excludePause(gap)
    }

    private fun onHeartbeat() {
        detector.probe(now)
        if (!isDelegate()) return
        val localDataCentre = table.self.dataCentre
        // Includes suspect members: it is not known whether they have applied the revision.
        val members = table.inDataCentre(localDataCentre).filter { it.state != MemberState.DEAD }
        dataCentres.advance(localDataCentre, members.minOfOrNull { it.revision } ?: 0, now)
        repeat(REMOTE_PROBES) { nextRemoteMember()?.let { detector.ping(it.address) } }
    }

    /** A delegate of the next remote data centre, or any member of it if it seems unreachable. */
    private fun nextRemoteMember(): MemberRecord? {
        val remoteNames = table.dataCentres.filter { it != table.self.dataCentre }
        if (remoteNames.isEmpty()) return null
        val name = remoteNames[remoteIndex++ % remoteNames.size]
        val reachable = dataCentres.state(name, now) == MemberState.ALIVE
        val choice = if (reachable) table.delegates(name) else emptyList()
        return choice.ifEmpty { table.inDataCentre(name).toList() }.randomOrNull(random)
    }

    private fun isDelegate(): Boolean = table.self in table.delegates(table.self.dataCentre)

    /** Sends this member's revision to the delegates, which publish the lowest one. */
    private fun sendRevisionToDelegates() {
        val revision = dissemination.revision
        val delegates = table.delegates(table.self.dataCentre)
            .filter { it !== table.self }.map { it.address }
        val informed = if (revision == sentRevision) informedDelegates.toSet() else emptySet()
        table.updateRevision(table.self, revision)
        delegates.filter { it !in informed }.forEach { address ->
            sendBody(address, Delivery.REPLACEABLE) { Updates(it) }
        }
        sentRevision = revision
        informedDelegates = delegates
    }

    private fun fanOut(): Set<String> {
        val targets = LinkedHashSet<String>()
        val localDelegates = table.delegates(table.self.dataCentre)
        targets += localDelegates.map { it.address }
        targets += table.localPeers().shuffled(random).take(FAN_OUT).map { it.address }
        if (table.self in localDelegates) {
            val remoteNames = table.dataCentres.filter { it != table.self.dataCentre }
            remoteNames.shuffled(random).take(REMOTE_FAN_OUT).forEach { name ->
                table.delegates(name).randomOrNull(random)?.let { targets += it.address }
            }
        }
        targets -= table.self.address
        return targets
    }

    private fun sendNewUpdates() {
        while (true) {
            val updates = table.takeNewUpdates(NEW_UPDATES_PER_MESSAGE)
            if (updates.isEmpty()) return
            for (address in fanOut()) {
                val frame = MessageCodec.encode(Updates(exchange(updates, emptyList())))
                output.send(address, frame, Delivery.REPLACEABLE)
            }
        }
    }

    /** Shorter after the start of this member, since many members may be starting at once. */
    private fun antiEntropyMillis(): Long = if (now - startedAt < STARTUP_MILLIS) {
        2 * heartbeat
    } else {
        intervals.antiEntropy.inWholeMilliseconds
    }

    private fun startTableComparison() {
        table.localPeers().randomOrNull(random)?.let { sendDigests(it.address) }
        if (isDelegate()) nextRemoteMember()?.let { sendDigests(it.address) }
    }

    /** Lets the two parts of a cluster find each other after a partition. */
    private fun contactSeedsAndDeadMembers() {
        table.removeExpiredMembers(now)
        val live = table.all.filter {
            it.state != MemberState.DEAD &&
                dataCentres.state(it.dataCentre, now) != MemberState.DEAD
        }.mapTo(HashSet()) { it.address }
        // Some of the first seeds may be gone or may know as little as this member.
        val count = if (live.size <= 1) FIRST_SEEDS else 1
        (seeds - live).shuffled(random).take(count).forEach { sendDigests(it) }
        table.all.filter { it.state == MemberState.DEAD && it.address !in live }
            .randomOrNull(random)?.let { sendDigests(it.address) }
        reports.removeStaleState(table.all.mapTo(HashSet()) { it.address }, now)
        entryRequestedAt.values.removeIf { now - it > heartbeat }
    }

    /** Requests the entry of an unknown sender, at most once per heartbeat. */
    private fun requestEntry(address: String) {
        if (now - (entryRequestedAt[address] ?: -heartbeat) < heartbeat) return
        entryRequestedAt[address] = now
        sendDigests(address)
    }

    private fun sendDigests(to: String) {
        val digests = table.dataCentres.map { TableDigest(it, table.digest(it)) }
        val updates = listOf(table.self.toUpdate(withPlace = true))
        val exchange = exchange(updates, dataCentres.statuses())
        val frame = MessageCodec.encode(TableDigests(exchange, digests))
        output.send(to, frame, Delivery.REPLACEABLE)
    }

    private fun onDigests(from: String, message: TableDigests) {
        val theirs = message.digests.associate { it.dataCentre to it.hash }
        val different = (table.dataCentres + theirs.keys)
            .filter { theirs[it] != table.digest(it) }
        if (different.isEmpty()) return
        sendEntries(from, different.flatMap { table.entries(it) }, different)
    }

    private fun onEntries(from: String, message: TableEntries) {
        val received = message.exchange.updates.associateBy { it.id }
        val missing = message.wanted.flatMap { table.entries(it) }.filter { mine ->
            val theirs = received[mine.id]
            theirs == null || theirs.incarnation < mine.incarnation ||
                (theirs.incarnation == mine.incarnation && theirs.state < mine.state)
        }
        table.applyTableEntries(message.exchange.updates, now)
        if (missing.isNotEmpty()) sendEntries(from, missing, emptyList())
    }

    private fun sendEntries(to: String, entries: List<MemberUpdate>, wanted: List<String>) {
        val parts = entries.chunked(ENTRIES_PER_MESSAGE)
        parts.forEachIndexed { index, part ->
            val requested = if (index == parts.lastIndex) wanted else emptyList()
            val exchange = exchange(part, dataCentres.statuses())
            val frame = MessageCodec.encode(TableEntries(exchange, requested))
            output.send(to, frame, Delivery.RETAINED)
        }
    }

    private fun jittered(millis: Long): Long = millis / 2 + random.nextLong(millis)

    private companion object {
        private val log = KotlinLogging.logger {}

        const val UPDATES_PER_MESSAGE = 6
        const val NEW_UPDATES_PER_MESSAGE = 16

        /** 1,000 entries of about 90 bytes stay well below the frame limit of 1 MB. */
        const val ENTRIES_PER_MESSAGE = 1_000
        const val FAN_OUT = 3
        const val FIRST_SEEDS = 3
        const val REMOTE_FAN_OUT = 3
        const val REMOTE_PROBES = 2
        const val REMOTE_INDEX_BOUND = 1_000
        const val STARTUP_MILLIS = 20_000L
        const val REPORT_INTERVAL_MILLIS = 200L
    }
}
