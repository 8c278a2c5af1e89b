package org.bramleytrestle.store

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapBoth
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bramleytrestle.model.ModelName

/**
 * Write-ahead journal of the open orders of one model. The next holder of the lease needs it,
 * because an engine that is still loading may report the replica that it is about to unload.
 */
internal class OrderJournal(private val store: ObjectStore, private val model: ModelName) {
    @Serializable
    private data class Entry(val fencingNumber: Long, val open: Map<String, Placement>)

    private var version: Long? = null

    /**
     * Takes over the journal for the holder with [fencingNumber] and returns its open orders, or
     * null if the caller must try again. The entry that was read is written back, which proves that
     * the read was not stale and makes later writes of an earlier holder fail.
     */
    suspend fun takeOver(fencingNumber: Long): Map<String, Placement>? {
        version = null
        val found = store.get(KIND, model.value).getOrElse { error ->
            if (error != StoreError.NOT_FOUND) return null
            return store.create(KIND, model.value, encoded(Entry(fencingNumber, emptyMap())))
                .mapBoth({
                    emptyMap<String, Placement>().also { _ -> version = it.version }
                }, { null })
        }
        val entry = format.decodeFromJsonElement(Entry.serializer(), found.value)
        version = found.version
        return if (write(entry.copy(fencingNumber = fencingNumber))) entry.open else null
    }

    /** Stores [open]. Returns true only if it is known to be stored. */
    suspend fun save(fencingNumber: Long, open: Map<String, Placement>): Boolean =
        write(Entry(fencingNumber, open))

    /** Whether [takeOver] succeeded and every write since then was confirmed. */
    val isOwned: Boolean get() = version != null

    private suspend fun write(entry: Entry): Boolean {
        val known = version ?: return false
        version = store.update(KIND, model.value, encoded(entry), known)
            .map { it.version }.getOrElse { null }
        return version != null
    }

    private fun encoded(entry: Entry) = format.encodeToJsonElement(Entry.serializer(), entry)

    private companion object {
        const val KIND = "orders"
        val format = Json { ignoreUnknownKeys = true }
    }
}
