package org.bramleytrestle.serving

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.bramleytrestle.store.StoredObject
import org.bramleytrestle.store.StoredObjectList
import org.bramleytrestle.store.WatchBatch
import org.bramleytrestle.store.WatchEvent

/**
 * This node's copy of all store objects of one kind, read from the store or from another node, and
 * the source from which other nodes read it.
 *
 * The copy never returns to an older version: a list or change that is older than it is ignored, so
 * that a source which lags behind cannot bring back what was replaced or removed.
 *
 * @property longestWait longest wait of a watch of nodes that others follow, and so the usual age
 * of their copies.
 * @param onList called with all objects of the kind.
 * @param onBatch called with changes of objects, oldest first.
 * @param onConfirmed called with the time up to which the copy is known to be complete.
 * @param onRecovered called before the first list or change after an outage of the store, with the
 * time for which objects that are missing then may still return; null for the usual time.
 * @param grace the rest of that time, for the nodes that read from this one.
 */
public class KindCopy(
    public val kind: String,
    public val longestWait: Duration = DEFAULT_WAIT,
    private val onList: (StoredObjectList) -> Unit,
    private val onBatch: (WatchBatch) -> Unit,
    private val onConfirmed: (Moment) -> Unit = {},
    private val onRecovered: (Duration?) -> Unit = {},
    private val grace: () -> Duration = { Duration.ZERO },
    private val now: () -> Moment = Moment::now
) {
    private val items = HashMap<String, RelayedItem>()

    /** Versions of removed objects by name, oldest first. */
    private val removed = LinkedHashMap<String, Long>()

    /** Changes after this version are known one by one; older ones only as a complete list. */
    private var changesSince = Long.MAX_VALUE
    private var known: Long? = null
    private var confirmedAt: Moment? = null

    @Volatile
    private var failing = false

    /** Store version up to which all changes are known; null before the first list. */
    public val version: Long? @Synchronized get() = known

    /** Time since the copy was confirmed; null if it never was. */
    public val age: Duration? @Synchronized get() = confirmedAt?.let { now().since(it) }

    @Synchronized
    public fun list(list: StoredObjectList) {
        if (list.version < (known ?: Long.MIN_VALUE)) return
        items.clear()
        for (item in list.items) items[item.name] = relayed(item)
        removed.clear()
        changesSince = list.version
        known = list.version
        onList(list)
    }

    @Synchronized
    public fun apply(batch: WatchBatch) {
        val before = known ?: return
        if (batch.version < before) return
        val events = batch.events.filter { isNewer(it) }
        for ((item, deleted) in events) {
            if (deleted) {
                items -= item.name
                removed -= item.name
                // The event may contain the object's last version instead of that of its removal.
                removed[item.name] = maxOf(item.version, batch.version)
            } else {
                removed -= item.name
                items[item.name] = relayed(item)
            }
        }
        known = maxOf(batch.version, events.maxOfOrNull { it.item.version } ?: 0)
        while (removed.size > MAX_REMOVED) {
            val (name, version) = removed.entries.first()
            removed -= name
            changesSince = maxOf(changesSince, version)
        }
        if (events.isNotEmpty()) onBatch(WatchBatch(batch.version, events))
    }

    private fun isNewer(event: WatchEvent): Boolean {
        val name = event.item.name
        val last = items[name]?.version ?: removed[name] ?: return true
        return event.item.version > last || event.deleted && event.item.version == last
    }

    /** Records that the copy was complete at [at]; an earlier time than known has no effect. */
    @Synchronized
    public fun confirm(at: Moment) {
        val last = confirmedAt
        if (last != null && at.monotonicNanos - last.monotonicNanos < 0) return
        confirmedAt = at
        failing = false
        onConfirmed(at)
    }

    /** Records that the last call to the store or the source failed. */
    public fun failed() {
        failing = true
    }

    /** Starts the time in which objects that are missing after an outage may return. */
    public fun recovered(rest: Duration? = null): Unit = onRecovered(rest)

    /** What a node that knows all changes until [after] lacks. */
    @Synchronized
    internal fun answer(after: Long?): RelayedKind? {
        val version = known ?: return null
        val complete = after == null || after < changesSince
        val current = items.values.filter { complete || it.version > after }
        val gone = if (complete) {
            emptyList()
        } else {
            removed.filterValues { it > after }.map { RelayedItem(it.key, it.value, null) }
        }
        return RelayedKind(
            kind = kind,
            version = version,
            ageMillis = confirmedAt?.let { now().since(it).inWholeMilliseconds },
            failing = failing,
            graceMillis = grace().inWholeMilliseconds,
            complete = complete,
            items = (current + gone).sortedBy { it.version }
        )
    }

    /**
     * Applies another node's answer.
     *
     * @param askedAt when the question was sent: the answer's age is as of a later time, so that
     * the copy was confirmed at that age before [askedAt] or later.
     * @throws SerializationException if an item's value is not JSON; nothing is applied then.
     */
    @Synchronized
    internal fun apply(answer: RelayedKind, askedAt: Moment) {
        if (answer.version < (known ?: Long.MIN_VALUE)) return
        val events = answer.items.map { item ->
            val value = Json.parseToJsonElement(item.value ?: "null")
            WatchEvent(StoredObject(kind, item.name, item.version, value), item.value == null)
        }
        if (answer.graceMillis > 0) recovered(answer.graceMillis.milliseconds)
        if (answer.complete) {
            list(StoredObjectList(answer.version, events.map { it.item }))
        } else {
            apply(WatchBatch(answer.version, events))
        }
        answer.ageMillis?.let { confirm(askedAt + -it.milliseconds) }
    }

    private fun relayed(item: StoredObject) =
        RelayedItem(item.name, item.version, item.value.toString())

    public companion object {
        /** Short enough to detect a dead connection before the key revocation time is exceeded. */
        public val DEFAULT_WAIT: Duration = 3.seconds

        /** A node that asks twice a second misses fewer removals between two questions. */
        private const val MAX_REMOVED = 1_000
    }
}
