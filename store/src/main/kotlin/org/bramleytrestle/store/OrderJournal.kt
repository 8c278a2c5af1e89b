package org.bramleytrestle.store

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapBoth
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bramleytrestle.model.ModelName

/**
 * The open orders of one model, stored before they are sent. A later holder of the lease needs
 * them, because an engine that still loads may report the replica that it is about to give up.
 */
internal class OrderJournal(private val store: ObjectStore, private val model: ModelName) {
    @Serializable
    private data class Entry(val fencingNumber: Long, val open: Map<String, Placement>)

    private var version: Long? = null

    /**
     * Reads the journal for the holder with [fencingNumber]; null if that must be tried again.
     * Writing what was read proves that the read was not stale, and stops an earlier holder.
     */
    suspend fun take(fencingNumber: Long): Map<String, Placement>? {
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

    /** Stores [open]; false if it is not certainly stored. */
    suspend fun save(fencingNumber: Long, open: Map<String, Placement>): Boolean =
        write(Entry(fencingNumber, open))

    /** Whether [take] succeeded and no write was uncertain since. */
    val isTaken: Boolean get() = version != null

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
