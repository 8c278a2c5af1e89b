package org.bramleytrestle.cluster

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.math.ceil
import kotlin.math.log10
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.Rendezvous
import org.bramleytrestle.model.StableHash

/**
 * What this node knows of all members, itself included, and the updates still to be told. Pure
 * state: the caller passes the time, in milliseconds of a monotonic clock.
 *
 * @param startSeconds start time of this process; makes the first incarnation of a restarted
 *   member higher than any of its earlier run, although instances keep nothing.
 */
internal class MemberTable(
    private val settings: ClusterSettings,
    startSeconds: Long,
    private val startedAt: Long
) {
    private class Pending(val withPlace: Boolean, var left: Int)

    private val records = LinkedHashMap<String, MemberRecord>()
    private val byAddress = HashMap<String, MemberRecord>()
    private val byDataCentre = LinkedHashMap<String, LinkedHashMap<String, MemberRecord>>()
    private val pending = LinkedHashMap<String, Pending>()
    private val fresh = LinkedHashSet<String>()
    private val suspects = HashMap<String, Long>()
    private val delegates = HashMap<String, List<MemberRecord>>()
    private val reporters = HashMap<InstanceId, List<MemberRecord>>()

    val self = MemberRecord(
        settings.id.value,
        MemberPlace(settings.dataCentre.value, settings.peerAddress, settings.callerAddress),
        startedAt
    )

    /** Raised whenever the table changes. */
    var version = 0L
        private set

    /** Whether a later run under the same id has taken this member's place. */
    var superseded = false
        private set

    init {
        self.incarnation = startSeconds shl REFUTATION_BITS
        insert(self)
        announce(self, withPlace = true)
    }

    val all: Collection<MemberRecord> get() = records.values
    val dataCentres: Set<String> get() = byDataCentre.keys

    operator fun get(id: String): MemberRecord? = records[id]

    fun at(address: String): MemberRecord? = byAddress[address]

    fun inDataCentre(name: String): Collection<MemberRecord> =
        byDataCentre[name]?.values ?: emptyList()

    /** Other members of the own data centre that are not known to be dead. */
    fun neighbours(): List<MemberRecord> = inDataCentre(self.dataCentre)
        .filter { it !== self && it.state != MemberState.DEAD }

    /** Delegates speak for their data centre to the others. */
    fun delegates(name: String): List<MemberRecord> =
        delegates.getOrPut(name) { top(name, "delegate", DELEGATES) }

    /** Members of the own data centre that poll [server]; the same as for the node. */
    fun reporters(server: InstanceId): List<MemberRecord> = reporters.getOrPut(server) {
        top(self.dataCentre, reportKey(server), REPORTERS)
    }

    private fun top(dataCentre: String, key: String, count: Int): List<MemberRecord> {
        val live = inDataCentre(dataCentre).filter { it.state != MemberState.DEAD }
        val preferred = live.filter { it.state == MemberState.ALIVE }.ifEmpty { live }
        return Rendezvous.top(key, preferred.map { it.id }, count).mapNotNull { records[it] }
    }

    fun noteRevision(record: MemberRecord, revision: Long) {
        if (record.revision == revision) return
        record.revision = revision
        version++
    }

    /** Takes over [update] if it is newer than what is known. */
    fun apply(update: MemberUpdate, now: Long) {
        val state = memberState(update.state) ?: return
        if (update.id == self.id) return applyToSelf(update, state, now)
        val known = records[update.id]
        if (known == null) {
            // Without the place, or after its death, a member is not worth an entry.
            val place = update.place
            if (place == null || state == MemberState.DEAD) return
            insert(MemberRecord(update.id, place, now).also { it.set(update, state) })
            changed(records.getValue(update.id), now, withPlace = true)
            return
        }
        val newer = update.incarnation > known.incarnation ||
            (update.incarnation == known.incarnation && state.rank > known.state.rank)
        if (!newer) return
        val moved = update.place != null && update.place != known.place
        val record = if (moved) replace(known, checkNotNull(update.place), now) else known
        record.set(update, state)
        changed(record, now, withPlace = state == MemberState.ALIVE)
    }

    fun suspect(record: MemberRecord, now: Long) {
        if (record.state != MemberState.ALIVE && record.state != MemberState.LEAVING) return
        record.state = MemberState.SUSPECT
        changed(record, now, withPlace = false)
    }

    fun leave(now: Long) {
        self.incarnation++
        self.state = MemberState.LEAVING
        changed(self, now, withPlace = false)
    }

    /** Takes a [leave] back. */
    fun cancelLeave(now: Long) {
        self.incarnation++
        self.state = MemberState.ALIVE
        changed(self, now, withPlace = true)
    }

    fun die(now: Long) {
        self.state = MemberState.DEAD
        changed(self, now, withPlace = false)
    }

    /** Suspicion that nobody refuted becomes death. */
    fun expire(now: Long) {
        if (suspects.isEmpty()) return
        for ((id, deadline) in suspects.entries.toList()) {
            val record = records[id]
            if (record == null || now < deadline) continue
            log.info { "cluster: ${record.id} in ${record.dataCentre} is dead: no answer" }
            record.state = MemberState.DEAD
            changed(record, now, withPlace = false)
        }
    }

    /** Removes old deaths. Walks the whole table, so it is not for every tick. */
    fun forget(now: Long) {
        val retention = settings.intervals.deadRetention.inWholeMilliseconds
        val forgotten = records.values.filter {
            it.state == MemberState.DEAD && it !== self && now - it.changedAt > retention
        }
        forgotten.forEach { remove(it) }
    }

    /** Gives suspects more time after this process itself stood still. */
    fun postpone(millis: Long) {
        suspects.replaceAll { _, deadline -> deadline + millis }
    }

    /** Updates for one message, those told least often first. */
    fun takeUpdates(limit: Int, acrossDataCentres: Boolean): List<MemberUpdate> {
        if (pending.isEmpty()) return emptyList()
        val chosen = pending.entries.sortedByDescending { it.value.left }
            .mapNotNull { (id, entry) -> records[id]?.let { it to entry } }
            .filterNot { acrossDataCentres && it.first.state == MemberState.SUSPECT }
            .take(limit)
        for ((record, entry) in chosen) {
            if (--entry.left <= 0) pending.remove(record.id)
        }
        return chosen.map { (record, entry) -> record.update(entry.withPlace) }
    }

    /** Updates learned since the last call; these are told at once. */
    fun takeFresh(limit: Int): List<MemberUpdate> {
        if (fresh.isEmpty()) return emptyList()
        val chosen = fresh.take(limit)
        fresh.removeAll(chosen.toSet())
        return chosen.mapNotNull { id ->
            records[id]?.let { it.update(pending[id]?.withPlace ?: true) }
        }
    }

    /** Takes over a comparison of tables. */
    fun applyAll(updates: List<MemberUpdate>, now: Long) {
        val told = pending.keys.toSet()
        updates.forEach { apply(it, now) }
        val news = pending.keys - told - self.id
        // Many news mean that only this member lacked them; telling all would flood the others.
        if (news.size <= MAX_TOLD_NEWS) return
        pending.keys.removeAll(news)
        fresh.removeAll(news)
    }

    /** Digest of the entries of a data centre. Suspicion and old deaths are not part of it. */
    fun digest(name: String): Long = inDataCentre(name)
        .filter { it.state != MemberState.DEAD }
        .fold(0L) { sum, it -> sum + StableHash.mix(StableHash.of(it.id) + it.incarnation) }

    fun entries(name: String): List<MemberUpdate> =
        inDataCentre(name).map { it.update(withPlace = true) }

    /** Repeats the entry of this member, so that a member that lacks it learns it. */
    fun announce(record: MemberRecord, withPlace: Boolean) {
        pending.remove(record.id)
        val tellings = TELLINGS_PER_DIGIT * ceil(log10(records.size + 1.0)).toInt()
        pending[record.id] = Pending(withPlace, maxOf(tellings, TELLINGS_PER_DIGIT))
        fresh += record.id
    }

    private fun applyToSelf(update: MemberUpdate, state: MemberState, now: Long) {
        if (update.incarnation < self.incarnation || superseded) return
        val elsewhere = update.place != null && update.place != self.place
        if (update.incarnation == self.incarnation && state == self.state && !elsewhere) return
        if (self.state == MemberState.DEAD) return
        val laterStart =
            update.incarnation shr REFUTATION_BITS > self.incarnation shr REFUTATION_BITS
        if (laterStart && elsewhere && now - startedAt > NEW_RUN_MILLIS) {
            log.error { "cluster: a later run of ${self.id} is active; this run gives way" }
            superseded = true
            return
        }
        // A run that has just begun is the later one even if its clock is behind.
        self.incarnation = if (laterStart) {
            ((update.incarnation shr REFUTATION_BITS) + 1) shl REFUTATION_BITS
        } else {
            update.incarnation + 1
        }
        changed(self, now, withPlace = true)
    }

    private fun MemberRecord.set(update: MemberUpdate, to: MemberState) {
        incarnation = update.incarnation
        state = to
    }

    private fun changed(record: MemberRecord, now: Long, withPlace: Boolean) {
        record.changedAt = now
        version++
        forgetChoices(record.dataCentre)
        if (record.state == MemberState.SUSPECT) {
            suspects[record.id] = now + settings.intervals.suspicion.inWholeMilliseconds
        } else {
            suspects.remove(record.id)
        }
        announce(record, withPlace)
    }

    private fun replace(old: MemberRecord, place: MemberPlace, now: Long): MemberRecord {
        remove(old)
        return MemberRecord(old.id, place, now).also { insert(it) }
    }

    private fun insert(record: MemberRecord) {
        records[record.id] = record
        byAddress[record.address] = record
        byDataCentre.getOrPut(record.dataCentre) { LinkedHashMap() }[record.id] = record
        forgetChoices(record.dataCentre)
        version++
    }

    private fun remove(record: MemberRecord) {
        records.remove(record.id)
        byAddress.remove(record.address, record)
        suspects.remove(record.id)
        forgetChoices(record.dataCentre)
        byDataCentre[record.dataCentre]?.let {
            it.remove(record.id)
            if (it.isEmpty()) byDataCentre.remove(record.dataCentre)
        }
        version++
    }

    private fun forgetChoices(dataCentre: String) {
        delegates.remove(dataCentre)
        if (dataCentre == settings.dataCentre.value) reporters.clear()
    }

    companion object {
        private val log = KotlinLogging.logger {}

        private const val REPORTERS = 2
        const val DELEGATES = 2

        /** Low bits of an incarnation count refutations, the others are the start in seconds. */
        const val REFUTATION_BITS = 16

        /** Age up to which a run takes over an id from an entry with a later start. */
        private const val NEW_RUN_MILLIS = 10_000L

        /** With 4 tellings per decimal digit of the member count an update misses few members. */
        private const val TELLINGS_PER_DIGIT = 4
        private const val MAX_TOLD_NEWS = 32
    }
}
