package org.bramleytrestle.serving

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.bramleytrestle.model.guarded
import org.bramleytrestle.store.ObjectStore
import org.bramleytrestle.store.StoreError
import org.bramleytrestle.store.StoreVersion
import org.bramleytrestle.store.StoredObject
import org.bramleytrestle.store.StoredObjectList
import org.bramleytrestle.store.WatchBatch

/**
 * Crash evidence in the store, where it outlives the nodes that observed it.
 *
 * @param onChange called with all evidence after each change.
 * @param onLost called with the evidence that a store which came back from an older copy lacks,
 * before [onChange].
 */
public class CrashEvidenceStore(
    private val store: ObjectStore,
    private val onChange: (Collection<CrashEvidence>) -> Unit,
    private val onLost: (Collection<CrashEvidence>) -> Unit = {},
    private val now: () -> Moment = Moment::now
) {
    private val items = HashMap<String, Pair<CrashEvidence, Long>>()
    private var era = 0L

    @Synchronized
    public fun replace(list: StoredObjectList) {
        val before = items.values.map { it.first }
        items.clear()
        list.items.forEach(::put)
        val restored = StoreVersion.era(list.version) > era
        era = StoreVersion.era(list.version)
        if (restored) onLost(before.filterNot(::isStored))
        onChange(items.values.map { it.first })
    }

    @Synchronized
    public fun apply(batch: WatchBatch) {
        for ((item, deleted) in batch.events) if (deleted) items -= item.name else put(item)
        onChange(items.values.map { it.first })
    }

    private fun isStored(evidence: CrashEvidence): Boolean {
        val stored = items[evidence.request]?.first ?: return false
        return stored.merge(evidence) == stored
    }

    /** Stores [evidence], merged with what is stored; tries again while the store is away. */
    public suspend fun merge(evidence: CrashEvidence) {
        val until = evidence.seenMillis + RequestQuarantine.LIFETIME.inWholeMilliseconds
        var retryDelay = MIN_RETRY_DELAY
        while (now().wallMillis < until) {
            var error: StoreError? = null
            if (guarded("evidence") { error = tryMerge(evidence) } && error == null) return
            log.warn { "prompts: storing evidence of request=${evidence.request} failed: $error" }
            delay(retryDelay)
            retryDelay = minOf(retryDelay * 2, MAX_RETRY_DELAY)
        }
    }

    /** Deletes the evidence that has expired. */
    public suspend fun deleteExpired() {
        val oldest = now().wallMillis - RequestQuarantine.LIFETIME.inWholeMilliseconds
        val expired = synchronized(this) { items.filterValues { it.first.seenMillis < oldest } }
        for ((name, item) in expired) {
            store.delete(KIND, name, item.second).mapBoth(
                {},
                { log.info { "prompts: evidence of request=$name not deleted: $it" } }
            )
        }
    }

    /** Returns why [evidence] is not stored, or null if it is. */
    private suspend fun tryMerge(evidence: CrashEvidence): StoreError? {
        val copy = synchronized(this) { items[evidence.request] }
        if (copy != null) {
            val (known, version) = copy
            val merged = known.merge(evidence)
            if (merged == known) return null
            val updated = store.update(KIND, evidence.request, encode(merged), version)
            if (updated.isOk) return null
        }
        val error = store.create(KIND, evidence.request, encode(evidence)).mapBoth({ null }, { it })
        if (error != StoreError.ALREADY_EXISTS) return error
        val known = store.get(KIND, evidence.request).getOrElse { return it }
        val merged = decode(known)?.merge(evidence) ?: evidence
        val value = encode(merged)
        if (value == known.value) return null
        return store.update(KIND, evidence.request, value, known.version).mapBoth({ null }, { it })
    }

    private fun put(item: StoredObject) {
        val evidence = decode(item)
        if (evidence == null) items -= item.name else items[item.name] = evidence to item.version
    }

    private fun encode(evidence: CrashEvidence) =
        format.encodeToJsonElement(CrashEvidence.serializer(), evidence)

    private fun decode(item: StoredObject): CrashEvidence? = try {
        format.decodeFromJsonElement(CrashEvidence.serializer(), item.value)
            .takeIf { it.request == item.name }
    } catch (e: SerializationException) {
        log.warn { "prompts: evidence ${item.name} cannot be read, ignored: ${e.message}" }
        null
    }

    public companion object {
        private val log = KotlinLogging.logger {}
        private val format = Json { ignoreUnknownKeys = true }

        /** Kind of the store objects that hold the evidence, one for each request. */
        public const val KIND: String = "prompt-crashes"

        private val MIN_RETRY_DELAY = 100.milliseconds
        private val MAX_RETRY_DELAY = 5.seconds
    }
}
