package org.bramleytrestle.cluster

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.math.ceil
import kotlin.math.log10
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.Rendezvous
import org.bramleytrestle.model.StableHash

/**
 * This node's table of all members, itself included, and the queue of updates to disseminate. Has
 * no clock: callers pass the time in milliseconds of a monotonic clock.
 *
 * @param startSeconds wall-clock start time of this process; makes the first incarnation of a
 *   restarted member higher than all those of its previous process, although instances persist
 *   nothing.
 */
internal class MemberTable(
    private val settings: ClusterSettings,
    startSeconds: Long,
    private val startedAt: Long
) {
    private class PendingUpdate(val withPlace: Boolean, var remainingSends: Int)

    private val records = LinkedHashMap<String, MemberRecord>()
    private val byAddress = HashMap<String, MemberRecord>()
    private val byDataCentre = LinkedHashMap<String, LinkedHashMap<String, MemberRecord>>()
    private val pendingUpdates = LinkedHashMap<String, PendingUpdate>()
    private val newUpdates = LinkedHashSet<String>()
    private val suspicionDeadlines = HashMap<String, Long>()
    private val delegates = HashMap<String, List<MemberRecord>>()
    private val reporters = HashMap<InstanceId, List<MemberRecord>>()

    val self = MemberRecord(
        settings.id.value,
        MemberPlace(settings.dataCentre.value, settings.peerAddress, settings.callerAddress),
        startedAt
    )

    /** Incremented on every change of the table. */
    var version = 0L
        private set

    /** Whether a process that started later under the same id has replaced this one. */
    var superseded = false
        private set

    init {
        self.incarnation = startSeconds shl REFUTATION_BITS
        insert(self)
        queueUpdate(self, withPlace = true)
    }

    val all: Collection<MemberRecord> get() = records.values
    val dataCentres: Set<String> get() = byDataCentre.keys

    operator fun get(id: String): MemberRecord? = records[id]

    fun findByAddress(address: String): MemberRecord? = byAddress[address]

    fun inDataCentre(name: String): Collection<MemberRecord> =
        byDataCentre[name]?.values ?: emptyList()

    /** Other members of this data centre that are not known to be dead. */
    fun localPeers(): List<MemberRecord> = inDataCentre(self.dataCentre)
        .filter { it !== self && it.state != MemberState.DEAD }

    /** Members that represent the data centre [name] in its communication with the others. */
    fun delegates(name: String): List<MemberRecord> =
        delegates.getOrPut(name) { selectTop(name, "delegate", DELEGATE_COUNT) }

    /** Members of this data centre that poll [server]; same selection as the public [reporters]. */
    fun reporters(server: InstanceId): List<MemberRecord> = reporters.getOrPut(server) {
        selectTop(self.dataCentre, reportKey(server), REPORTER_COUNT)
    }

    private fun selectTop(dataCentre: String, key: String, count: Int): List<MemberRecord> {
        val live = inDataCentre(dataCentre).filter { it.state != MemberState.DEAD }
        val preferred = live.filter { it.state == MemberState.ALIVE }.ifEmpty { live }
        return Rendezvous.top(key, preferred.map { it.id }, count).mapNotNull { records[it] }
    }

    fun updateRevision(record: MemberRecord, revision: Long) {
        if (record.revision == revision) return
        record.revision = revision
        version++
    }

    /** Applies [update] if it is newer than the known state of the member. */
    fun apply(update: MemberUpdate, now: Long) {
        val state = memberState(update.state) ?: return
        if (update.id == self.id) return applyToSelf(update, state, now)
        val known = records[update.id]
        if (known == null) {
            // A new entry requires the place. No entry is created for a member that is dead.
            val place = update.place
            if (place == null || state == MemberState.DEAD) return
            insert(MemberRecord(update.id, place, now).also { it.set(update, state) })
            onChanged(records.getValue(update.id), now, withPlace = true)
            return
        }
        val newer = update.incarnation > known.incarnation ||
            (update.incarnation == known.incarnation && state.rank > known.state.rank)
        if (!newer) return
        val placeChanged = update.place != null && update.place != known.place
        val record = if (placeChanged) replace(known, checkNotNull(update.place), now) else known
        record.set(update, state)
        onChanged(record, now, withPlace = state == MemberState.ALIVE)
    }

    fun suspect(record: MemberRecord, now: Long) {
        if (record.state != MemberState.ALIVE && record.state != MemberState.LEAVING) return
        record.state = MemberState.SUSPECT
        onChanged(record, now, withPlace = false)
    }

    fun leave(now: Long) {
        self.incarnation++
        self.state = MemberState.LEAVING
        onChanged(self, now, withPlace = false)
    }

    /** Reverts [leave]. */
    fun cancelLeave(now: Long) {
        self.incarnation++
        self.state = MemberState.ALIVE
        onChanged(self, now, withPlace = true)
    }

    fun markSelfDead(now: Long) {
        self.state = MemberState.DEAD
        onChanged(self, now, withPlace = false)
    }

    /** Declares suspected members dead that have not refuted the suspicion in time. */
    fun expireSuspicions(now: Long) {
        if (suspicionDeadlines.isEmpty()) return
        for ((id, deadline) in suspicionDeadlines.entries.toList()) {
            val record = records[id]
            if (record == null || now < deadline) continue
            log.info {
                "cluster: ${record.id} in ${record.dataCentre} declared dead: no answer to probes"
            }
            record.state = MemberState.DEAD
            onChanged(record, now, withPlace = false)
        }
    }

    /** Removes dead members after their retention. Scans the table; do not call on every tick. */
    fun removeExpiredMembers(now: Long) {
        val retention = settings.intervals.deadRetention.inWholeMilliseconds
        val expired = records.values.filter {
            it.state == MemberState.DEAD && it !== self && now - it.changedAt > retention
        }
        expired.forEach { remove(it) }
    }

    /** Extends pending suspicions by [millis] for which this process itself was paused. */
    fun excludePause(millis: Long) {
        suspicionDeadlines.replaceAll { _, deadline -> deadline + millis }
    }

    /** Takes updates to include in a message, those with the most sends left first. */
    fun takePiggybackUpdates(limit: Int, acrossDataCentres: Boolean): List<MemberUpdate> {
        if (pendingUpdates.isEmpty()) return emptyList()
        val chosen = pendingUpdates.entries.sortedByDescending { it.value.remainingSends }
            .mapNotNull { (id, entry) -> records[id]?.let { it to entry } }
            .filterNot { acrossDataCentres && it.first.state == MemberState.SUSPECT }
            .take(limit)
        for ((record, entry) in chosen) {
            if (--entry.remainingSends <= 0) pendingUpdates.remove(record.id)
        }
        return chosen.map { (record, entry) -> record.toUpdate(entry.withPlace) }
    }

    /** Takes updates queued since the last call; these are sent without waiting for a probe. */
    fun takeNewUpdates(limit: Int): List<MemberUpdate> {
        if (newUpdates.isEmpty()) return emptyList()
        val chosen = newUpdates.take(limit)
        newUpdates.removeAll(chosen.toSet())
        return chosen.mapNotNull { id ->
            records[id]?.let { it.toUpdate(pendingUpdates[id]?.withPlace ?: true) }
        }
    }

    /** Applies the entries received in a comparison of tables. */
    fun applyTableEntries(updates: List<MemberUpdate>, now: Long) {
        val alreadyPending = pendingUpdates.keys.toSet()
        updates.forEach { apply(it, now) }
        val learned = pendingUpdates.keys - alreadyPending - self.id
        // Many new entries mean that only this member lacked them; resending them floods peers.
        if (learned.size <= MAX_REBROADCAST_UPDATES) return
        pendingUpdates.keys.removeAll(learned)
        newUpdates.removeAll(learned)
    }

    /** Hash over the entries of a data centre; ignores suspicion and dead members. */
    fun digest(name: String): Long = inDataCentre(name)
        .filter { it.state != MemberState.DEAD }
        .fold(0L) { sum, it -> sum + StableHash.mix(StableHash.of(it.id) + it.incarnation) }

    fun entries(name: String): List<MemberUpdate> =
        inDataCentre(name).map { it.toUpdate(withPlace = true) }

    /** Queues the entry of [record] for dissemination. */
    fun queueUpdate(record: MemberRecord, withPlace: Boolean) {
        pendingUpdates.remove(record.id)
        val sends = SENDS_PER_DIGIT * ceil(log10(records.size + 1.0)).toInt()
        pendingUpdates[record.id] = PendingUpdate(withPlace, maxOf(sends, SENDS_PER_DIGIT))
        newUpdates += record.id
    }

    private fun applyToSelf(update: MemberUpdate, state: MemberState, now: Long) {
        if (update.incarnation < self.incarnation || superseded) return
        val placeDiffers = update.place != null && update.place != self.place
        if (update.incarnation == self.incarnation && state == self.state && !placeDiffers) return
        if (self.state == MemberState.DEAD) return
        val startedLater =
            update.incarnation shr REFUTATION_BITS > self.incarnation shr REFUTATION_BITS
        if (startedLater && placeDiffers && now - startedAt > TAKEOVER_WINDOW_MILLIS) {
            log.error {
                "cluster: id ${self.id} is in use by a process that started later; " +
                    "this process stops taking part"
            }
            superseded = true
            return
        }
        // A process that has just started is the newer one even if its clock is behind.
        self.incarnation = if (startedLater) {
            ((update.incarnation shr REFUTATION_BITS) + 1) shl REFUTATION_BITS
        } else {
            update.incarnation + 1
        }
        onChanged(self, now, withPlace = true)
    }

    private fun MemberRecord.set(update: MemberUpdate, to: MemberState) {
        incarnation = update.incarnation
        state = to
    }

    private fun onChanged(record: MemberRecord, now: Long, withPlace: Boolean) {
        record.changedAt = now
        version++
        invalidateSelections(record.dataCentre)
        if (record.state == MemberState.SUSPECT) {
            suspicionDeadlines[record.id] = now + settings.intervals.suspicion.inWholeMilliseconds
        } else {
            suspicionDeadlines.remove(record.id)
        }
        queueUpdate(record, withPlace)
    }

    private fun replace(old: MemberRecord, place: MemberPlace, now: Long): MemberRecord {
        remove(old)
        return MemberRecord(old.id, place, now).also { insert(it) }
    }

    private fun insert(record: MemberRecord) {
        records[record.id] = record
        byAddress[record.address] = record
        byDataCentre.getOrPut(record.dataCentre) { LinkedHashMap() }[record.id] = record
        invalidateSelections(record.dataCentre)
        version++
    }

    private fun remove(record: MemberRecord) {
        records.remove(record.id)
        byAddress.remove(record.address, record)
        suspicionDeadlines.remove(record.id)
        invalidateSelections(record.dataCentre)
        byDataCentre[record.dataCentre]?.let {
            it.remove(record.id)
            if (it.isEmpty()) byDataCentre.remove(record.dataCentre)
        }
        version++
    }

    private fun invalidateSelections(dataCentre: String) {
        delegates.remove(dataCentre)
        if (dataCentre == settings.dataCentre.value) reporters.clear()
    }

    companion object {
        private val log = KotlinLogging.logger {}

        private const val REPORTER_COUNT = 2
        const val DELEGATE_COUNT = 2

        /** Low bits of an incarnation that count refutations; the rest is the start in seconds. */
        const val REFUTATION_BITS = 16

        /** Uptime up to which a process takes over its id from an entry with a later start time. */
        private const val TAKEOVER_WINDOW_MILLIS = 10_000L

        /** With 4 sends per decimal digit of the member count, an update misses few members. */
        private const val SENDS_PER_DIGIT = 4
        private const val MAX_REBROADCAST_UPDATES = 32
    }
}
