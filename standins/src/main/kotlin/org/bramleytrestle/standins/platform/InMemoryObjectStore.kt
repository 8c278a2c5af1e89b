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
 * Objects of the stand-in platform with one version counter for all kinds and a bounded history
 * per kind, from which watches and reads of past states are served.
 */
public class InMemoryObjectStore(
    private val historyLimit: Int = HISTORY_LIMIT,
    private val nowMillis: () -> Long = System::currentTimeMillis
) {
    private class Kind {
        val objects = TreeMap<String, StandInObject>()
        val history = ArrayDeque<StoreEvent>()
        var forgottenVersion = 0L
    }

    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val kinds = HashMap<String, Kind>()
    private var version = 0L

    public fun create(
        kind: String,
        name: String,
        value: JsonElement
    ): Result<StandInObject, StoreRefusal> = lock.withLock {
        if (tooLarge(value)) return Err(StoreRefusal.TOO_LARGE)
        if (name in of(kind).objects) return Err(StoreRefusal.ALREADY_EXISTS)
        Ok(write(kind, name, value))
    }

    /** Replaces an object; without [ifVersion] whatever its version, or creates it. */
    public fun put(
        kind: String,
        name: String,
        value: JsonElement,
        ifVersion: Long?
    ): Result<StandInObject, StoreRefusal> = lock.withLock {
        if (tooLarge(value)) return Err(StoreRefusal.TOO_LARGE)
        val refusal = ifVersion?.let { refusal(kind, name, it) }
        if (refusal != null) Err(refusal) else Ok(write(kind, name, value))
    }

    /** Deletes an object; without [ifVersion] whatever its version. */
    public fun delete(kind: String, name: String, ifVersion: Long?): Result<Unit, StoreRefusal> =
        lock.withLock {
            val before = of(kind).objects[name] ?: return Err(StoreRefusal.NOT_FOUND)
            val refusal = ifVersion?.let { refusal(kind, name, it) }
            if (refusal != null) return Err(refusal)
            of(kind).objects.remove(name)
            record(of(kind), StoreEvent(++version, nowMillis(), before, null))
            Ok(Unit)
        }

    /** Objects of [kind] in name order and the version of the state, as of [ageMillis] ago. */
    public fun list(kind: String, ageMillis: Long = 0): Pair<Long, List<StandInObject>> =
        lock.withLock {
            val state = of(kind)
            if (ageMillis == 0L) return version to state.objects.values.toList()
            val cut = nowMillis() - ageMillis
            val objects = TreeMap(state.objects)
            val newer = state.history.takeLastWhile { it.atMillis > cut }
            for (event in newer.asReversed()) {
                event.after?.let { objects.remove(it.name) }
                event.before?.let { objects[it.name] = it }
            }
            val stateVersion = newer.firstOrNull()?.let { it.version - 1 } ?: version
            stateVersion to objects.values.toList()
        }

    /** Waits up to [waitMillis] for changes of [kind] after [afterVersion], [ageMillis] late. */
    public fun watch(
        kind: String,
        afterVersion: Long,
        waitMillis: Long,
        ageMillis: Long = 0
    ): Result<List<StoreEvent>, StoreRefusal> = lock.withLock {
        val deadline = nowMillis() + waitMillis
        var events: List<StoreEvent>
        do {
            val state = of(kind)
            if (afterVersion < state.forgottenVersion) return Err(StoreRefusal.EXPIRED)
            val cut = nowMillis() - ageMillis
            events = state.history.takeLastWhile { it.version > afterVersion }
                .takeWhile { it.atMillis <= cut }
            val left = deadline - nowMillis()
            if (events.isEmpty() && left > 0) {
                val step = if (ageMillis > 0) minOf(left, LAG_POLL_MILLIS) else left
                changed.await(step, TimeUnit.MILLISECONDS)
            }
        } while (events.isEmpty() && left > 0)
        Ok(events)
    }

    private fun of(kind: String) = kinds.getOrPut(kind) { Kind() }

    private fun tooLarge(value: JsonElement) = value.toString().length > MAX_VALUE_BYTES

    private fun refusal(kind: String, name: String, ifVersion: Long): StoreRefusal? {
        val found = of(kind).objects[name] ?: return StoreRefusal.NOT_FOUND
        return if (found.version == ifVersion) null else StoreRefusal.CONFLICT
    }

    private fun write(kind: String, name: String, value: JsonElement): StandInObject {
        val state = of(kind)
        val after = StandInObject(name, ++version, value)
        val before = state.objects.put(name, after)
        record(state, StoreEvent(version, nowMillis(), before, after))
        return after
    }

    private fun record(state: Kind, event: StoreEvent) {
        state.history.addLast(event)
        if (state.history.size > historyLimit) {
            state.forgottenVersion = state.history.removeFirst().version
        }
        changed.signalAll()
    }

    private companion object {
        const val HISTORY_LIMIT = 10_000
        const val MAX_VALUE_BYTES = 1_000_000
        const val LAG_POLL_MILLIS = 20L
    }
}
