package org.bramleytrestle.cluster

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.random.Random
import kotlinx.serialization.SerializationException
import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.settings.Change

/**
 * The protocol between members as a state machine: inputs are the time, frames and calls of the
 * node; outputs go to [output]. Has no clock, threads or sockets, so that tests run many members
 * on virtual time. One caller at a time.
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
    /** Where frames go. */
    interface Output {
        fun send(to: String, frame: ByteArray, delivery: Delivery)

        fun replaceIfSilent(to: String)
    }

    private val intervals = settings.intervals
    private val heartbeat = intervals.heartbeat.inWholeMilliseconds
    private val table = MemberTable(settings, startSeconds, now)
    private val dataCentres = DataCentreTable(intervals)
    private val detector =
        FailureDetector(table, intervals, random, this, output::replaceIfSilent)
    private val dissemination = Dissemination(listener, this, ::fanOut)
    private val reports = ReportExchange(listener, this, reportBytesPerSecond, wantsReport)
    private val seeds = settings.seeds.toMutableSet()
    private val view = MemberView(table, dataCentres)

    private var now = now
    private var lastInput = now
    private var nextHeartbeat = now + random.nextLong(heartbeat)
    private val startedAt = now
    private var nextAntiEntropy = now + jittered(2 * heartbeat)
    private var nextSeed = now
    private var nextReports = now
    private var knownDelegates = emptyList<String>()
    private var knownRevision = -1L
    private var crossIndex = random.nextInt(CROSS_START)
    private val greeted = HashMap<String, Long>()

    fun members(): Map<InstanceId, Member> = view.members(now)

    fun addSeeds(addresses: Collection<String>) {
        seeds += addresses
    }

    fun pushChanges(changes: List<Change>) {
        dissemination.push(changes)
    }

    fun shareReports(batch: List<LoadReport>) {
        val targets = table.all.filter { it !== table.self && it.state != MemberState.DEAD }
        reports.share(
            batch,
            targets,
            standIn = { table.reporters(it).let { list -> table.self in list.drop(1) } },
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

    fun leave() {
        if (table.self.state != MemberState.ALIVE && table.self.state != MemberState.SUSPECT) return
        table.leave(now)
        tellFresh()
    }

    fun cancelLeave() {
        if (table.self.state != MemberState.LEAVING) return
        table.cancelLeave(now)
        tellFresh()
    }

    fun stop() {
        table.die(now)
        tellFresh()
    }

    fun tick(time: Long) {
        now = time
        noticeOwnPause()
        if (table.superseded) return
        detector.tick(now)
        table.expire(now)
        noticeRevision()
        if (now >= nextHeartbeat) {
            nextHeartbeat = maxOf(nextHeartbeat + heartbeat, now)
            beat()
        }
        if (now >= nextAntiEntropy) {
            nextAntiEntropy = now + jittered(antiEntropyMillis())
            compareTables()
        }
        if (now >= nextSeed) {
            nextSeed = now + jittered(intervals.seedRetry.inWholeMilliseconds)
            reachOut()
        }
        if (now >= nextReports) {
            nextReports = now + REPORT_INTERVAL_MILLIS
            reports.flush(now)
        }
        tellFresh()
    }

    fun receive(from: String, frame: ByteArray, time: Long) {
        now = time
        noticeOwnPause()
        if (table.superseded) return
        val message = try {
            MessageCodec.decode(frame)
        } catch (e: SerializationException) {
            log.warn { "cluster: bad message from $from dropped: ${e.message}" }
            return
        }
        val exchange = message.exchange
        if (message !is TableEntries) exchange.updates.forEach { table.apply(it, now) }
        exchange.dataCentres.forEach { dataCentres.merge(it, now) }
        val sender = table[exchange.from]
        if (sender == null) {
            introduce(from)
        } else {
            table.noteRevision(sender, exchange.revision)
        }
        handle(from, message)
        dissemination.onRevision(from, exchange.revision, now)
    }

    override fun send(to: String, build: (Exchange) -> Message) {
        val record = table.at(to)
        val across = record != null && record.dataCentre != table.self.dataCentre
        val updates = table.takeUpdates(UPDATES_PER_MESSAGE, across).toMutableList()
        // Lets a member that came back refute its own suspicion or death at once.
        if (record != null && record.state.rank >= MemberState.SUSPECT.rank) {
            updates += record.update(withPlace = false)
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
            is Grant -> listener.onGrants(InstanceId(message.exchange.from), message.grants)
        }
    }

    /** After a stop of this process the silence of the others means nothing. */
    private fun noticeOwnPause() {
        val gap = now - lastInput
        lastInput = now
        if (gap <= 2 * heartbeat) return
        log.info { "cluster: this process stood still for $gap ms" }
        detector.reset()
        table.postpone(gap)
        dataCentres.postpone(gap)
    }

    private fun beat() {
        detector.probe(now)
        if (!isDelegate()) return
        val own = table.self.dataCentre
        // A suspect member counts: whether it has the revision is not known.
        val members = table.inDataCentre(own).filter { it.state != MemberState.DEAD }
        dataCentres.advance(own, members.minOfOrNull { it.revision } ?: 0, now)
        repeat(CROSS_PROBES) { nextRemote()?.let { detector.greet(it.address) } }
    }

    /** A delegate of the next other data centre, or any member if that one seems unreachable. */
    private fun nextRemote(): MemberRecord? {
        val others = table.dataCentres.filter { it != table.self.dataCentre }
        if (others.isEmpty()) return null
        val name = others[crossIndex++ % others.size]
        val reachable = dataCentres.state(name, now) == MemberState.ALIVE
        val choice = if (reachable) table.delegates(name) else emptyList()
        return choice.ifEmpty { table.inDataCentre(name).toList() }.randomOrNull(random)
    }

    private fun isDelegate(): Boolean = table.self in table.delegates(table.self.dataCentre)

    /** Delegates learn the revision of each member, so that they can state the lowest one. */
    private fun noticeRevision() {
        val revision = dissemination.revision
        val delegates = table.delegates(table.self.dataCentre)
            .filter { it !== table.self }.map { it.address }
        val told = if (revision == knownRevision) knownDelegates.toSet() else emptySet()
        table.noteRevision(table.self, revision)
        delegates.filter { it !in told }.forEach { address ->
            sendBody(address, Delivery.REPLACEABLE) { Updates(it) }
        }
        knownRevision = revision
        knownDelegates = delegates
    }

    private fun fanOut(): Set<String> {
        val targets = LinkedHashSet<String>()
        val own = table.delegates(table.self.dataCentre)
        targets += own.map { it.address }
        targets += table.neighbours().shuffled(random).take(FAN_OUT).map { it.address }
        if (table.self in own) {
            val others = table.dataCentres.filter { it != table.self.dataCentre }
            others.shuffled(random).take(CROSS_FAN_OUT).forEach { name ->
                table.delegates(name).randomOrNull(random)?.let { targets += it.address }
            }
        }
        targets -= table.self.address
        return targets
    }

    private fun tellFresh() {
        while (true) {
            val updates = table.takeFresh(FRESH_PER_MESSAGE)
            if (updates.isEmpty()) return
            for (address in fanOut()) {
                val frame = MessageCodec.encode(Updates(exchange(updates, emptyList())))
                output.send(address, frame, Delivery.REPLACEABLE)
            }
        }
    }

    /** Comparisons are frequent at the start: many members may be starting at once. */
    private fun antiEntropyMillis(): Long = if (now - startedAt < STARTING_MILLIS) {
        2 * heartbeat
    } else {
        intervals.antiEntropy.inWholeMilliseconds
    }

    private fun compareTables() {
        table.neighbours().randomOrNull(random)?.let { sendDigests(it.address) }
        if (isDelegate()) nextRemote()?.let { sendDigests(it.address) }
    }

    /** Tries a seed and a dead member, which is how two parts of a cluster find each other. */
    private fun reachOut() {
        table.forget(now)
        val live = table.all.filter {
            it.state != MemberState.DEAD &&
                dataCentres.state(it.dataCentre, now) != MemberState.DEAD
        }.mapTo(HashSet()) { it.address }
        (seeds - live).randomOrNull(random)?.let { sendDigests(it) }
        table.all.filter { it.state == MemberState.DEAD && it.address !in live }
            .randomOrNull(random)?.let { sendDigests(it.address) }
        reports.forget(table.all.mapTo(HashSet()) { it.address }, now)
        greeted.values.removeIf { now - it > heartbeat }
    }

    /** Asks an unknown sender for its entry. */
    private fun introduce(address: String) {
        if (now - (greeted[address] ?: -heartbeat) < heartbeat) return
        greeted[address] = now
        sendDigests(address)
    }

    private fun sendDigests(to: String) {
        val digests = table.dataCentres.map { TableDigest(it, table.digest(it)) }
        val updates = listOf(table.self.update(withPlace = true))
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
        table.applyAll(message.exchange.updates, now)
        if (missing.isNotEmpty()) sendEntries(from, missing, emptyList())
    }

    private fun sendEntries(to: String, entries: List<MemberUpdate>, wanted: List<String>) {
        val parts = entries.chunked(ENTRIES_PER_MESSAGE)
        parts.forEachIndexed { index, part ->
            val asked = if (index == parts.lastIndex) wanted else emptyList()
            val exchange = exchange(part, dataCentres.statuses())
            output.send(to, MessageCodec.encode(TableEntries(exchange, asked)), Delivery.KEPT)
        }
    }

    private fun jittered(millis: Long): Long = millis / 2 + random.nextLong(millis)

    private companion object {
        private val log = KotlinLogging.logger {}

        const val UPDATES_PER_MESSAGE = 6
        const val FRESH_PER_MESSAGE = 16

        /** 1,000 entries of about 90 bytes fit into a frame of 1 MB with room to spare. */
        const val ENTRIES_PER_MESSAGE = 1_000
        const val FAN_OUT = 3
        const val CROSS_FAN_OUT = 3
        const val CROSS_PROBES = 2
        const val CROSS_START = 1_000
        const val STARTING_MILLIS = 20_000L
        const val REPORT_INTERVAL_MILLIS = 200L
    }
}
