package org.bramleytrestle.store

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.bramleytrestle.model.Instance

/**
 * Maintains a copy of the platform's list of instances. During an outage the last successful list
 * stays in use, because an empty list would stop all routing.
 */
public class InstanceList(
    private val store: ObjectStore,
    private val watchTimeout: Duration = 30.seconds,
    private val retryDelay: Duration = 1.seconds
) {
    private val mutableInstances = MutableStateFlow<List<Instance>>(emptyList())

    /** The latest known list, sorted by name. */
    public val instances: StateFlow<List<Instance>> = mutableInstances.asStateFlow()

    /** Lists and watches until cancelled. */
    public suspend fun run(): Nothing {
        while (true) {
            store.list(KIND).onSuccess { follow(it) }
            delay(retryDelay)
        }
    }

    /** Applies watch events to [listed] until the watch position expires. */
    private suspend fun follow(listed: StoredObjectList) {
        val byName = listed.items.associateTo(sortedMapOf()) { it.name to decoded(it) }
        var version = listed.version
        publish(byName)
        while (true) {
            val events = store.watch(KIND, version, watchTimeout).getOrElse { error ->
                if (error == StoreError.EXPIRED) return
                delay(retryDelay)
                emptyList()
            }
            for ((item, deleted) in events) {
                if (item.version <= version) continue
                if (deleted) byName.remove(item.name) else byName[item.name] = decoded(item)
                version = item.version
            }
            if (events.isNotEmpty()) publish(byName)
        }
    }

    private fun publish(byName: Map<String, Instance?>) {
        mutableInstances.value = byName.values.filterNotNull()
    }

    private fun decoded(item: StoredObject): Instance? = try {
        format.decodeFromJsonElement(Instance.serializer(), item.value)
    } catch (cause: SerializationException) {
        logSkipped(item, cause)
    } catch (cause: IllegalArgumentException) {
        logSkipped(item, cause)
    }

    private fun logSkipped(item: StoredObject, cause: Exception): Instance? {
        log.warn { "platform: instances/${item.name} skipped: ${cause.message}" }
        return null
    }

    private companion object {
        const val KIND = "instances"
        val log = KotlinLogging.logger {}
        val format = Json { ignoreUnknownKeys = true }
    }
}
