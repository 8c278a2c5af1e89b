package org.bramleytrestle.store

import com.github.michaelbull.result.Result
import kotlin.time.Duration
import kotlinx.serialization.json.JsonElement

/** Client of the platform's object API, which holds all durable state of the system. */
public interface ObjectStore {
    /** Number of times the store is known to have come back from an older copy. */
    public val era: Long get() = 0

    public suspend fun get(kind: String, name: String): Result<StoredObject, StoreError>

    /** Lists at most [limit] objects of [kind], in name order from [fromName] (inclusive). */
    public suspend fun list(
        kind: String,
        fromName: String? = null,
        limit: Int? = null
    ): Result<StoredObjectList, StoreError>

    public suspend fun create(
        kind: String,
        name: String,
        value: JsonElement
    ): Result<StoredObject, StoreError>

    /** Replaces the value if the current version is [ifVersion]. */
    public suspend fun update(
        kind: String,
        name: String,
        value: JsonElement,
        ifVersion: Long
    ): Result<StoredObject, StoreError>

    /** Deletes the object if its current version is [ifVersion]. */
    public suspend fun delete(kind: String, name: String, ifVersion: Long): Result<Unit, StoreError>

    /** Waits up to [timeout] for changes of [kind] after [afterVersion] and returns them. */
    public suspend fun watch(
        kind: String,
        afterVersion: Long,
        timeout: Duration
    ): Result<List<WatchEvent>, StoreError>
}
