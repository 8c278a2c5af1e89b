package org.bramleytrestle.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.util.TreeMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonElement

/**
 * An in-memory object store with configurable faults.
 *
 * While [maxStaleWrites] is positive, a read may miss up to that many of the latest writes.
 */
internal class FakeObjectStore(private val random: Random = Random(1)) : ObjectStore {
    private class State(val version: Long, val objects: Map<Pair<String, String>, StoredObject>)

    private val objects = TreeMap<Pair<String, String>, StoredObject>(
        compareBy({ it.first }, { it.second })
    )
    private val history = mutableListOf<Pair<String, WatchEvent>>()
    private val states = mutableListOf(State(0, emptyMap()))
    private val version = MutableStateFlow(0L)
    var calls = 0
    var down = false
    var responseLossProbability = 0.0
    var maxStaleWrites = 0
    var latency = Duration.ZERO
    var expireNextWatch = false
    val callsByKind = TreeMap<String, Int>()

    override var era = 0L
        private set

    /** Comes back from a copy that lacks the last [lostWrites] writes. */
    fun restore(lostWrites: Int) {
        val copy = states[maxOf(0, states.lastIndex - lostWrites)]
        era++
        fun restored(old: Long) = StoreVersion.of(era, StoreVersion.revision(old))
        val kept = copy.objects.mapValues { it.value.copy(version = restored(it.value.version)) }
        objects.clear()
        objects += kept
        history.clear()
        states.clear()
        states += State(restored(copy.version), kept)
        version.value = restored(copy.version)
    }

    override suspend fun get(kind: String, name: String): Result<StoredObject, StoreError> {
        if (!startCall("get $kind")) return Err(StoreError.UNAVAILABLE)
        return readState().objects[kind to name]?.let { Ok(it) } ?: Err(StoreError.NOT_FOUND)
    }

    override suspend fun list(
        kind: String,
        fromName: String?,
        limit: Int?
    ): Result<StoredObjectList, StoreError> {
        if (!startCall("list $kind")) return Err(StoreError.UNAVAILABLE)
        val state = readState()
        val items = state.objects.values
            .filter { it.kind == kind && it.name >= fromName.orEmpty() }
            .sortedBy { it.name }
        return Ok(StoredObjectList(state.version, items.take(limit ?: items.size)))
    }

    override suspend fun create(kind: String, name: String, value: JsonElement) =
        write("create $kind") {
            if (kind to name in objects) {
                Err(StoreError.ALREADY_EXISTS)
            } else {
                Ok(put(kind, name, value))
            }
        }

    override suspend fun update(kind: String, name: String, value: JsonElement, ifVersion: Long) =
        write("update $kind") {
            val found = objects[kind to name]
            when {
                found == null -> Err(StoreError.NOT_FOUND)
                found.version != ifVersion -> Err(StoreError.VERSION_CONFLICT)
                else -> Ok(put(kind, name, value))
            }
        }

    override suspend fun delete(kind: String, name: String, ifVersion: Long) =
        write("delete $kind") {
            val found = objects[kind to name]
            when {
                found == null -> Err(StoreError.NOT_FOUND)

                found.version != ifVersion -> Err(StoreError.VERSION_CONFLICT)

                else -> {
                    objects.remove(kind to name)
                    val deleted = found.copy(version = version.value + 1)
                    Ok(record(kind, WatchEvent(deleted, deleted = true)))
                }
            }
        }

    override suspend fun watch(
        kind: String,
        afterVersion: Long,
        timeout: Duration
    ): Result<List<WatchEvent>, StoreError> {
        if (!startCall("watch $kind")) return Err(StoreError.UNAVAILABLE)
        if (expireNextWatch) {
            expireNextWatch = false
            return Err(StoreError.EXPIRED)
        }
        fun events() = history.filter { (eventKind, event) ->
            eventKind == kind && event.item.version > afterVersion
        }.map { it.second }
        withTimeoutOrNull(timeout) { version.first { events().isNotEmpty() } }
        return Ok(events())
    }

    /** Writes directly: no fault applies, and the write is not counted as a call. */
    fun put(kind: String, name: String, value: JsonElement): StoredObject {
        val item = StoredObject(kind, name, version.value + 1, value)
        objects[kind to name] = item
        record(kind, WatchEvent(item))
        return item
    }

    fun names(kind: String) = objects.keys.filter { it.first == kind }.map { it.second }

    fun stored(kind: String, name: String) = objects[kind to name]

    private fun record(kind: String, event: WatchEvent) {
        history += kind to event
        states += State(event.item.version, objects.toMap())
        if (states.size > KEPT_STATES) states.removeFirst()
        version.value = event.item.version
    }

    private fun readState(): State {
        val staleWrites = if (maxStaleWrites == 0) 0 else random.nextInt(maxStaleWrites + 1)
        return states[maxOf(0, states.lastIndex - staleWrites)]
    }

    private suspend fun startCall(operation: String): Boolean {
        calls++
        callsByKind.merge(operation, 1, Int::plus)
        if (latency > Duration.ZERO) delay(latency)
        return !down
    }

    private suspend fun <T> write(
        operation: String,
        action: () -> Result<T, StoreError>
    ): Result<T, StoreError> {
        if (!startCall(operation)) return Err(StoreError.UNAVAILABLE)
        val result = action()
        if (random.nextDouble() >= responseLossProbability) return result
        return Err(StoreError.OUTCOME_UNKNOWN)
    }

    private companion object {
        const val KEPT_STATES = 32
    }
}
