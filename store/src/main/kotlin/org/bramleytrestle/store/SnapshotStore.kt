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
 * Snapshots of the settings in parts that fit into an object. Part names hold the content's hash,
 * so that two writers of one revision never mix their parts.
 *
 * @param partChars size of a part; the platform takes values up to 1 MB.
 */
internal class SnapshotStore(
    private val store: ObjectStore,
    private val retryDelay: Duration,
    private val partChars: Int = 900_000
) {
    /** Stores the [tree] at [revision]; true if a snapshot of the revision is certainly stored. */
    suspend fun write(revision: Long, tree: JsonObject): Boolean {
        val packed = packed(tree)
        val manifest = SnapshotManifest(revision, sha256(packed), packed.chunked(partChars).size)
        val parts = packed.chunked(partChars).withIndex()
        return parts.all { (index, part) ->
            create(partName(manifest, index), JsonPrimitive(part))
        } &&
            create(manifestName(revision), encoded(manifest))
    }

    /** The revision and tree of the newest complete snapshot; null if there is none. */
    suspend fun newest(): Result<Pair<Long, JsonObject>?, StoreError> {
        val manifests = manifests(KEPT).getOrElse { return Err(it) }.map { it.second }
        for (manifest in manifests) {
            val tree = read(manifest).getOrElse { return Err(it) }
            if (tree != null) return Ok(manifest.revision to tree)
            log.warn { "platform: snapshot ${manifest.revision} is incomplete" }
        }
        return Ok(null)
    }

    /**
     * Deletes all but the newest [KEPT] snapshots, manifests before parts, at most [perSecond]
     * objects; returns the revisions of the kept ones, newest first.
     */
    suspend fun trim(perSecond: Int): List<Long> {
        while (true) {
            val found = manifests(KEPT + 1).getOrElse { return emptyList() }
            val kept = found.take(KEPT).map { it.second.revision }
            val old = found.drop(KEPT)
            if (old.isEmpty()) {
                if (kept.size == KEPT) trimParts(kept.last(), perSecond)
                return kept
            }
            delete(old.map { it.first }, perSecond)
        }
    }

    /** Deletes [items] at a bounded rate. */
    suspend fun delete(items: List<StoredObject>, perSecond: Int) {
        for (item in items) {
            store.delete(item.kind, item.name, item.version)
            delay(1.seconds / perSecond)
        }
    }

    private suspend fun trimParts(oldestKept: Long, perSecond: Int) {
        while (true) {
            val page = store.list(KIND, "part-", PART_PAGE).getOrElse { return }.items
            val old = page.filter { it.name < "part-${ChangeLog.name(oldestKept)}" }
            if (old.isEmpty()) return
            delete(old, perSecond)
        }
    }

    private suspend fun manifests(
        limit: Int
    ): Result<List<Pair<StoredObject, SnapshotManifest>>, StoreError> =
        store.list(KIND, MANIFEST, limit).map { list ->
            list.items.filter { it.name.startsWith(MANIFEST) }.map {
                it to format.decodeFromJsonElement(SnapshotManifest.serializer(), it.value)
            }
        }

    private suspend fun read(manifest: SnapshotManifest): Result<JsonObject?, StoreError> {
        val packed = StringBuilder()
        for (index in 0..<manifest.parts) {
            val part = store.get(KIND, partName(manifest, index)).getOrElse {
                return if (it == StoreError.NOT_FOUND) Ok(null) else Err(it)
            }
            packed.append(part.value.jsonPrimitive.content)
        }
        val text = packed.toString()
        return Ok(if (sha256(text) == manifest.sha256) unpacked(text) else null)
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

    private fun packed(tree: JsonObject): String {
        val bytes = ByteArrayOutputStream()
        GZIPOutputStream(bytes).use { it.write(tree.toString().toByteArray()) }
        return Base64.getEncoder().encodeToString(bytes.toByteArray())
    }

    private fun unpacked(text: String): JsonObject {
        val input = GZIPInputStream(Base64.getDecoder().decode(text).inputStream())
        return Json.parseToJsonElement(input.use { it.readBytes() }.decodeToString()).jsonObject
    }

    private fun sha256(text: String) =
        MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
            .joinToString("") { "%02x".format(it) }

    private fun partName(manifest: SnapshotManifest, index: Int) =
        "part-${ChangeLog.name(manifest.revision)}-${manifest.sha256.take(HASH_CHARS)}-" +
            "%04d".format(index)

    /** Counts down, so that a short list has the newest manifests. */
    private fun manifestName(revision: Long) = MANIFEST + ChangeLog.name(MAX_REVISION - revision)

    private fun encoded(manifest: SnapshotManifest) =
        format.encodeToJsonElement(SnapshotManifest.serializer(), manifest)

    private companion object {
        const val KIND = "snapshots"
        const val MANIFEST = "manifest-"
        const val KEPT = 2
        const val PART_PAGE = 4
        const val CREATE_ATTEMPTS = 3
        const val HASH_CHARS = 16
        const val MAX_REVISION = 9_999_999_999
        val log = KotlinLogging.logger {}
        val format = Json { ignoreUnknownKeys = true }
    }
}
