package org.bramleytrestle.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import org.bramleytrestle.settings.Change

/**
 * Totally ordered log of settings changes. There is at most one entry per revision, because an
 * entry is only created if it does not exist. Snapshots bound the time to load the log.
 *
 * @param snapshotInterval a snapshot is written at each multiple of this revision.
 * @param retainedChanges number of latest entries that are kept as the audit trail.
 */
public class ChangeLog(
    private val store: ObjectStore,
    private val watchTimeout: Duration = 2.seconds,
    private val retryDelay: Duration = 500.milliseconds,
    private val snapshotInterval: Int = 200,
    private val retainedChanges: Int = 20_000
) {
    private val snapshots = SnapshotStore(store, retryDelay)

    /**
     * Creates the entry of [change] unless its revision is already occupied. If the response is
     * lost, the create is retried. This is safe, because the change id of the existing entry shows
     * whether it is this change.
     */
    public suspend fun append(change: Change): AppendOutcome {
        val value = format.encodeToJsonElement(Change.serializer(), change)
        var mayExist = false
        repeat(APPEND_ATTEMPTS) {
            val error = store.create(KIND, objectName(change.revision), value)
                .mapBoth({ return AppendOutcome.Accepted }, { it })
            if (error == StoreError.UNAVAILABLE && !mayExist) return AppendOutcome.Unavailable
            mayExist = true
            read(change.revision).onSuccess { return outcome(it, change) }
            delay(retryDelay)
        }
        return AppendOutcome.Unknown
    }

    public suspend fun read(revision: Long): Result<Change, StoreError> =
        store.get(KIND, objectName(revision)).map(::decoded)

    /** Reads at most [limit] entries in order, from [revision] + 1 up to the first gap. */
    public suspend fun readAfter(
        revision: Long,
        limit: Int = PAGE
    ): Result<List<Change>, StoreError> = store.list(KIND, objectName(revision + 1), limit)
        .map { list -> consecutive(list.items.map(::decoded), revision) }

    /**
     * Emits the changes after [fromRevision] in order, without gaps or duplicates. Completes when
     * the next change has been trimmed; a snapshot contains it then.
     */
    public fun follow(fromRevision: Long): Flow<Change> = flow {
        var applied = fromRevision
        while (true) {
            val list = store.list(KIND, objectName(applied + 1), PAGE).getOrElse {
                delay(retryDelay)
                continue
            }
            val changes = list.items.map(::decoded)
            if (changes.isNotEmpty() && changes.first().revision > applied + 1) return@flow
            for (change in consecutive(changes, applied)) {
                emit(change)
                applied = change.revision
            }
            if (changes.size < PAGE) applied = watch(applied, list.version)
        }
    }

    /**
     * Emits changes in order until the watch position expires or a gap is detected. Returns the
     * last emitted revision.
     */
    private suspend fun FlowCollector<Change>.watch(from: Long, listed: Long): Long {
        var applied = from
        var version = listed
        while (true) {
            val events = store.watch(KIND, version, watchTimeout).getOrElse { error ->
                delay(retryDelay)
                if (error == StoreError.EXPIRED) return applied
                emptyList()
            }
            for ((item, deleted) in events) {
                val change = decoded(item)
                if (!deleted && change.revision > applied + 1) {
                    delay(retryDelay)
                    return applied
                }
                if (!deleted && change.revision == applied + 1) {
                    emit(change)
                    applied = change.revision
                }
                version = maxOf(version, item.version)
            }
        }
    }

    /** Returns the prefix of [changes] that follows [revision] without a gap. */
    private fun consecutive(changes: List<Change>, revision: Long): List<Change> =
        changes.withIndex()
            .takeWhile { (index, change) -> change.revision == revision + 1 + index }
            .map { it.value }

    /**
     * Loads the latest complete snapshot and all changes after it. Fails with `EXPIRED` if changes
     * between them are missing.
     */
    public suspend fun load(): Result<LoadedLog, StoreError> {
        val snapshot = snapshots.latest().getOrElse { return Err(it) }
        val base = snapshot?.first ?: 0
        val changes = mutableListOf<Change>()
        do {
            val next = base + changes.size + 1
            val page = store.list(KIND, objectName(next), PAGE).getOrElse { return Err(it) }
                .items.map(::decoded)
            if (page.isNotEmpty() && page.first().revision != next) return Err(StoreError.EXPIRED)
            changes += consecutive(page, next - 1)
        } while (page.size == PAGE)
        return Ok(LoadedLog(base, snapshot?.second ?: JsonObject(emptyMap()), changes))
    }

    /**
     * Writes a snapshot if one is due at [revision]. Only the node that appended the change calls
     * it, so that each snapshot has one writer. A missing snapshot only makes the next load longer.
     */
    public suspend fun snapshotIfDue(revision: Long, tree: JsonObject) {
        if (revision % snapshotInterval == 0L && !snapshots.write(revision, tree)) {
            log.warn { "platform: snapshot $revision could not be stored" }
        }
    }

    /**
     * Deletes old snapshots and the entries that are needed neither to load the last two snapshots
     * nor for the audit trail, at most [perSecond] objects per second. Only one
     * node should run it at a time.
     */
    public suspend fun trim(perSecond: Int = 5) {
        val kept = snapshots.trim(perSecond)
        if (kept.size < 2) return
        val firstNeeded = objectName(minOf(kept.last(), kept.first() - retainedChanges) + 1)
        while (true) {
            val page = store.list(KIND, limit = TRIM_PAGE).getOrElse { return }.items
            val old = page.filter { it.name < firstNeeded }
            if (old.isEmpty()) return
            snapshots.delete(old, perSecond)
        }
    }

    private fun outcome(found: Change, change: Change) = if (found.changeId == change.changeId) {
        AppendOutcome.Accepted
    } else {
        AppendOutcome.Conflict(found)
    }

    private fun decoded(item: StoredObject) =
        format.decodeFromJsonElement(Change.serializer(), item.value)

    internal companion object {
        const val KIND = "changes"
        private const val PAGE = 500
        private const val TRIM_PAGE = 100
        private val log = KotlinLogging.logger {}
        private const val APPEND_ATTEMPTS = 5
        private val format = Json { ignoreUnknownKeys = true }

        fun objectName(revision: Long): String = "%010d".format(revision)
    }
}
