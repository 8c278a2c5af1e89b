package org.bramleytrestle.standins.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.util.TreeMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlinx.serialization.json.JsonElement

/**
 * In-memory store of the stand-in platform. All kinds share one version counter. Each kind keeps a
 * bounded history of changes, from which watches and stale reads are served.
 */
public class InMemoryObjectStore(
    private val historyLimit: Int = HISTORY_LIMIT,
    private val nowMillis: () -> Long = System::currentTimeMillis
) {
    private class KindState {
        val objects = TreeMap<String, StoredObject>()
        val history = ArrayDeque<StoreEvent>()
        var lastEvictedVersion = 0L
    }

    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val kinds = HashMap<String, KindState>()
    private var version = 0L

    public fun create(
        kind: String,
        name: String,
        value: JsonElement
    ): Result<StoredObject, StoreError> = lock.withLock {
        if (isTooLarge(value)) return Err(StoreError.TOO_LARGE)
        if (name in stateOf(kind).objects) return Err(StoreError.ALREADY_EXISTS)
        Ok(write(kind, name, value))
    }

    /** Replaces the object if it has version [ifVersion]; null replaces or creates it. */
    public fun put(
        kind: String,
        name: String,
        value: JsonElement,
        ifVersion: Long?
    ): Result<StoredObject, StoreError> = lock.withLock {
        if (isTooLarge(value)) return Err(StoreError.TOO_LARGE)
        val error = ifVersion?.let { versionError(kind, name, it) }
        if (error != null) Err(error) else Ok(write(kind, name, value))
    }

    /** Deletes the object if it has version [ifVersion]; null deletes any version. */
    public fun delete(kind: String, name: String, ifVersion: Long?): Result<Unit, StoreError> =
        lock.withLock {
            val before = stateOf(kind).objects[name] ?: return Err(StoreError.NOT_FOUND)
            val error = ifVersion?.let { versionError(kind, name, it) }
            if (error != null) return Err(error)
            stateOf(kind).objects.remove(name)
            record(stateOf(kind), StoreEvent(++version, nowMillis(), before, null))
            Ok(Unit)
        }

    /** Returns the version and the objects of [kind], by name, as of [ageMillis] ago. */
    public fun list(kind: String, ageMillis: Long = 0): Pair<Long, List<StoredObject>> =
        lock.withLock {
            val state = stateOf(kind)
            if (ageMillis == 0L) return version to state.objects.values.toList()
            val cutoffMillis = nowMillis() - ageMillis
            val objects = TreeMap(state.objects)
            val newer = state.history.takeLastWhile { it.atMillis > cutoffMillis }
            for (event in newer.asReversed()) {
                event.after?.let { objects.remove(it.name) }
                event.before?.let { objects[it.name] = it }
            }
            val stateVersion = newer.firstOrNull()?.let { it.version - 1 } ?: version
            stateVersion to objects.values.toList()
        }

    /**
     * Waits up to [waitMillis] for changes of [kind] after [afterVersion]. A change becomes visible
     * [ageMillis] after it was made.
     */
    public fun watch(
        kind: String,
        afterVersion: Long,
        waitMillis: Long,
        ageMillis: Long = 0
    ): Result<List<StoreEvent>, StoreError> = lock.withLock {
        val deadline = nowMillis() + waitMillis
        var events: List<StoreEvent>
        do {
            val state = stateOf(kind)
            if (afterVersion < state.lastEvictedVersion) return Err(StoreError.EXPIRED)
            val cutoffMillis = nowMillis() - ageMillis
            events = state.history.takeLastWhile { it.version > afterVersion }
                .takeWhile { it.atMillis <= cutoffMillis }
            val left = deadline - nowMillis()
            if (events.isEmpty() && left > 0) {
                val step = if (ageMillis > 0) minOf(left, DELAYED_POLL_MILLIS) else left
                changed.await(step, TimeUnit.MILLISECONDS)
            }
        } while (events.isEmpty() && left > 0)
        Ok(events)
    }

    private fun stateOf(kind: String) = kinds.getOrPut(kind) { KindState() }

    private fun isTooLarge(value: JsonElement) = value.toString().length > MAX_VALUE_BYTES

    private fun versionError(kind: String, name: String, ifVersion: Long): StoreError? {
        val current = stateOf(kind).objects[name] ?: return StoreError.NOT_FOUND
        return if (current.version == ifVersion) null else StoreError.CONFLICT
    }

    private fun write(kind: String, name: String, value: JsonElement): StoredObject {
        val state = stateOf(kind)
        val after = StoredObject(name, ++version, value)
        val before = state.objects.put(name, after)
        record(state, StoreEvent(version, nowMillis(), before, after))
        return after
    }

    private fun record(state: KindState, event: StoreEvent) {
        state.history.addLast(event)
        if (state.history.size > historyLimit) {
            state.lastEvictedVersion = state.history.removeFirst().version
        }
        changed.signalAll()
    }

    private companion object {
        const val HISTORY_LIMIT = 10_000
        const val MAX_VALUE_BYTES = 1_000_000
        const val DELAYED_POLL_MILLIS = 20L
    }
}
