package org.bramleytrestle.serving

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlin.time.Duration
import kotlinx.serialization.json.JsonElement
import org.bramleytrestle.store.ObjectStore
import org.bramleytrestle.store.StoreError
import org.bramleytrestle.store.StoredObject
import org.bramleytrestle.store.StoredObjectList
import org.bramleytrestle.store.WatchEvent

/** Keeps objects in memory. */
internal class MemoryStore : ObjectStore {
    val objects = LinkedHashMap<String, StoredObject>()
    private var version = 0L

    /** Number of calls except lists. */
    var calls = 0

    /** Called at the start of each update; another writer may come first. */
    var beforeWrite: () -> Unit = {}

    /** Error of each creation; null if it succeeds. */
    var failure: StoreError? = null

    override suspend fun create(
        kind: String,
        name: String,
        value: JsonElement
    ): Result<StoredObject, StoreError> {
        calls++
        failure?.let { return Err(it) }
        if (name in objects) return Err(StoreError.ALREADY_EXISTS)
        return Ok(put(kind, name, value))
    }

    override suspend fun update(
        kind: String,
        name: String,
        value: JsonElement,
        ifVersion: Long
    ): Result<StoredObject, StoreError> {
        calls++
        beforeWrite()
        if (objects[name]?.version != ifVersion) return Err(StoreError.VERSION_CONFLICT)
        return Ok(put(kind, name, value))
    }

    fun put(kind: String, name: String, value: JsonElement) =
        StoredObject(kind, name, ++version, value).also { objects[name] = it }

    override suspend fun get(kind: String, name: String): Result<StoredObject, StoreError> {
        calls++
        return objects[name]?.let { Ok(it) } ?: Err(StoreError.NOT_FOUND)
    }

    override suspend fun list(
        kind: String,
        fromName: String?,
        limit: Int?
    ): Result<StoredObjectList, StoreError> = Ok(StoredObjectList(version, objects.values.toList()))

    override suspend fun delete(
        kind: String,
        name: String,
        ifVersion: Long
    ): Result<Unit, StoreError> {
        if (objects[name]?.version != ifVersion) return Err(StoreError.VERSION_CONFLICT)
        objects -= name
        return Ok(Unit)
    }

    override suspend fun watch(
        kind: String,
        afterVersion: Long,
        timeout: Duration
    ): Result<List<WatchEvent>, StoreError> = error("not used")
}
