package org.bramleytrestle.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import java.io.ByteArrayOutputStream
import java.security.MessageDigest
import java.util.Base64
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/**
 * Stores snapshots of the settings, split into parts that fit into one object each. Part names
 * contain a hash of the content, so that the parts of two writers of one revision are never mixed.
 *
 * @param partChars size of a part in characters; the platform accepts values of up to 1 MB.
 */
internal class SnapshotStore(
    private val store: ObjectStore,
    private val retryDelay: Duration,
    private val partChars: Int = 900_000
) {
    /** Stores [tree]. Returns true only if a snapshot of [revision] is known to be stored. */
    suspend fun write(revision: Long, tree: JsonObject): Boolean {
        val text = compress(tree)
        val manifest = SnapshotManifest(revision, sha256(text), text.chunked(partChars).size)
        val parts = text.chunked(partChars).withIndex()
        return parts.all { (index, part) ->
            create(partName(manifest, index), JsonPrimitive(part))
        } &&
            create(manifestName(revision), encoded(manifest))
    }

    /** Returns the revision and tree of the latest complete snapshot, or null if there is none. */
    suspend fun latest(): Result<Pair<Long, JsonObject>?, StoreError> {
        val manifests = manifests(RETAINED).getOrElse { return Err(it) }.map { it.second }
        for (manifest in manifests) {
            val tree = read(manifest).getOrElse { return Err(it) }
            if (tree != null) return Ok(manifest.revision to tree)
            log.warn {
                "platform: snapshot ${manifest.revision} is incomplete or corrupt"
            }
        }
        return Ok(null)
    }

    /**
     * Deletes all but the latest [RETAINED] snapshots, manifests before parts, at most [perSecond]
     * objects per second. Returns the revisions of the retained snapshots, latest first.
     */
    suspend fun trim(perSecond: Int): List<Long> {
        while (true) {
            val found = manifests(RETAINED + 1).getOrElse { return emptyList() }
            val kept = found.take(RETAINED).map { it.second.revision }
            val old = found.drop(RETAINED)
            if (old.isEmpty()) {
                if (kept.size == RETAINED) trimParts(kept.last(), perSecond)
                return kept
            }
            delete(old.map { it.first }, perSecond)
        }
    }

    /** Deletes [items], at most [perSecond] per second. */
    suspend fun delete(items: List<StoredObject>, perSecond: Int) {
        for (item in items) {
            store.delete(item.kind, item.name, item.version)
            delay(1.seconds / perSecond)
        }
    }

    private suspend fun trimParts(oldestRetained: Long, perSecond: Int) {
        while (true) {
            val page = store.list(KIND, "part-", PART_PAGE).getOrElse { return }.items
            val old = page.filter { it.name < "part-${ChangeLog.objectName(oldestRetained)}" }
            if (old.isEmpty()) return
            delete(old, perSecond)
        }
    }

    private suspend fun manifests(
        limit: Int
    ): Result<List<Pair<StoredObject, SnapshotManifest>>, StoreError> =
        store.list(KIND, MANIFEST_PREFIX, limit).map { list ->
            list.items.filter { it.name.startsWith(MANIFEST_PREFIX) }.map {
                it to format.decodeFromJsonElement(SnapshotManifest.serializer(), it.value)
            }
        }

    private suspend fun read(manifest: SnapshotManifest): Result<JsonObject?, StoreError> {
        val builder = StringBuilder()
        for (index in 0..<manifest.parts) {
            val part = store.get(KIND, partName(manifest, index)).getOrElse {
                return if (it == StoreError.NOT_FOUND) Ok(null) else Err(it)
            }
            builder.append(part.value.jsonPrimitive.content)
        }
        val text = builder.toString()
        return Ok(if (sha256(text) == manifest.sha256) decompress(text) else null)
    }

    private suspend fun create(name: String, value: JsonElement): Boolean {
        repeat(CREATE_ATTEMPTS) {
            val error = store.create(KIND, name, value).mapBoth({ return true }, { it })
            if (error == StoreError.ALREADY_EXISTS) return true
            if (error == StoreError.UNAVAILABLE) return false
            delay(retryDelay)
        }
        return false
    }

    private fun compress(tree: JsonObject): String {
        val bytes = ByteArrayOutputStream()
        GZIPOutputStream(bytes).use { it.write(tree.toString().toByteArray()) }
        return Base64.getEncoder().encodeToString(bytes.toByteArray())
    }

    private fun decompress(text: String): JsonObject {
        val input = GZIPInputStream(Base64.getDecoder().decode(text).inputStream())
        return Json.parseToJsonElement(input.use { it.readBytes() }.decodeToString()).jsonObject
    }

    private fun sha256(text: String) =
        MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
            .joinToString("") { "%02x".format(it) }

    private fun partName(manifest: SnapshotManifest, index: Int) =
        "part-${ChangeLog.objectName(manifest.revision)}-${manifest.sha256.take(HASH_CHARS)}-" +
            "%04d".format(index)

    /** A later revision has a smaller name, so that a list with a limit returns the latest ones. */
    private fun manifestName(revision: Long) =
        MANIFEST_PREFIX + ChangeLog.objectName(MAX_REVISION - revision)

    private fun encoded(manifest: SnapshotManifest) =
        format.encodeToJsonElement(SnapshotManifest.serializer(), manifest)

    private companion object {
        const val KIND = "snapshots"
        const val MANIFEST_PREFIX = "manifest-"
        const val RETAINED = 2
        const val PART_PAGE = 4
        const val CREATE_ATTEMPTS = 3
        const val HASH_CHARS = 16
        const val MAX_REVISION = 9_999_999_999
        val log = KotlinLogging.logger {}
        val format = Json { ignoreUnknownKeys = true }
    }
}
