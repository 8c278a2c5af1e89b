package org.bramleytrestle.serving

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import org.bramleytrestle.store.ObjectStore
import org.bramleytrestle.store.StoreError
import org.bramleytrestle.store.StoredObject
import org.bramleytrestle.store.StoredObjectList
import org.bramleytrestle.store.WatchEvent

class NodeDirectoryTest {
    /** Keeps objects in memory. */
    private class MemoryStore : ObjectStore {
        val objects = LinkedHashMap<String, StoredObject>()
        private var version = 0L

        override suspend fun create(
            kind: String,
            name: String,
            value: JsonElement
        ): Result<StoredObject, StoreError> {
            if (name in objects) return Err(StoreError.ALREADY_EXISTS)
            return Ok(put(kind, name, value))
        }

        override suspend fun update(
            kind: String,
            name: String,
            value: JsonElement,
            ifVersion: Long
        ): Result<StoredObject, StoreError> {
            if (objects[name]?.version != ifVersion) return Err(StoreError.VERSION_CONFLICT)
            return Ok(put(kind, name, value))
        }

        fun put(kind: String, name: String, value: JsonElement) =
            StoredObject(kind, name, ++version, value).also { objects[name] = it }

        override suspend fun get(kind: String, name: String): Result<StoredObject, StoreError> =
            objects[name]?.let { Ok(it) } ?: Err(StoreError.NOT_FOUND)

        override suspend fun list(
            kind: String,
            fromName: String?,
            limit: Int?
        ): Result<StoredObjectList, StoreError> =
            Ok(StoredObjectList(version, objects.values.toList()))

        override suspend fun delete(kind: String, name: String, ifVersion: Long) = error("not used")

        override suspend fun watch(
            kind: String,
            afterVersion: Long,
            timeout: Duration
        ): Result<List<WatchEvent>, StoreError> = error("not used")
    }

    private val store = MemoryStore()
    private val directory = NodeDirectory(store)

    @Test
    fun `nodes of an earlier version, which register an address alone, are found as peers`() =
        runTest {
            store.put("entry-nodes", "old", JsonPrimitive("10.0.0.1:7000"))
            directory.register("new", "10.0.0.2:7000", "a", capacity = 150)
            val peers = directory.peers().getOrElse { error("$it") }
            assertEquals(listOf("10.0.0.1:7000", "10.0.0.2:7000"), peers)
            assertEquals(listOf(NodeRegistration("new", "a", 150)), directory.registered)
        }

    @Test
    fun `a node that comes back at another address replaces its entry`() = runTest {
        directory.register("n", "10.0.0.2:7000", "a")
        directory.register("n", "10.0.0.9:7000", "a")
        assertEquals(listOf("10.0.0.9:7000"), directory.peers().getOrElse { error("$it") })
    }

    @Test
    fun `an entry of another writer hides only itself`() = runTest {
        store.put("entry-nodes", "odd", JsonPrimitive(17))
        store.put("entry-nodes", "list", kotlinx.serialization.json.JsonArray(emptyList()))
        directory.register("n", "10.0.0.2:7000", "a")
        val peers = directory.peers().getOrElse { error("$it") }
        assertEquals(true, "10.0.0.2:7000" in peers)
    }
}
