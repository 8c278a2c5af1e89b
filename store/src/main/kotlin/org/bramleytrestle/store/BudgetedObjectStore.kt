package org.bramleytrestle.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder
import kotlin.time.Duration
import kotlinx.serialization.json.JsonElement

/** Limits the calls of one node by [budget] and counts them by operation and kind. */
public class BudgetedObjectStore(
    private val store: ObjectStore,
    private val budget: PlatformCallBudget
) : ObjectStore {
    private val sent = ConcurrentHashMap<String, LongAdder>()
    private val failed = ConcurrentHashMap<String, LongAdder>()
    private val refused = ConcurrentHashMap<String, LongAdder>()

    /** Call counts since the start of the process. */
    public fun counts(): PlatformCallCounts =
        PlatformCallCounts(totals(sent), totals(failed), totals(refused))

    override suspend fun get(kind: String, name: String): Result<StoredObject, StoreError> =
        call("get", kind) { store.get(kind, name) }

    override suspend fun list(
        kind: String,
        fromName: String?,
        limit: Int?
    ): Result<StoredObjectList, StoreError> =
        call("list", kind) { store.list(kind, fromName, limit) }

    override suspend fun create(
        kind: String,
        name: String,
        value: JsonElement
    ): Result<StoredObject, StoreError> =
        call("create", kind, WRITE_COST) { store.create(kind, name, value) }

    override suspend fun update(
        kind: String,
        name: String,
        value: JsonElement,
        ifVersion: Long
    ): Result<StoredObject, StoreError> =
        call("update", kind, WRITE_COST) { store.update(kind, name, value, ifVersion) }

    override suspend fun delete(
        kind: String,
        name: String,
        ifVersion: Long
    ): Result<Unit, StoreError> =
        call("delete", kind, WRITE_COST) { store.delete(kind, name, ifVersion) }

    override suspend fun watch(
        kind: String,
        afterVersion: Long,
        timeout: Duration
    ): Result<List<WatchEvent>, StoreError> =
        call("watch", kind) { store.watch(kind, afterVersion, timeout) }

    private suspend fun <T> call(
        operation: String,
        kind: String,
        cost: Double = 1.0,
        send: suspend () -> Result<T, StoreError>
    ): Result<T, StoreError> {
        val label = "$operation $kind"
        val priority = CallPriority.of(operation, kind)
        val permit = budget.acquire(priority, cost, operation == "watch")
        if (permit == null) {
            increment(refused, label)
            return Err(StoreError.UNAVAILABLE)
        }
        increment(sent, label)
        val result = send()
        val isFailure = result.mapBoth({ false }, { it in FAILURES })
        if (isFailure) increment(failed, label)
        budget.onFinished(permit, isFailure)
        return result
    }

    private fun increment(counts: ConcurrentHashMap<String, LongAdder>, label: String) =
        counts.computeIfAbsent(label) { LongAdder() }.increment()

    private fun totals(counts: Map<String, LongAdder>) =
        counts.toSortedMap().mapValues { it.value.sum() }

    private companion object {
        /** The platform handles about 2,000 reads per second but only several hundred writes. */
        const val WRITE_COST = 4.0
        val FAILURES = setOf(StoreError.UNAVAILABLE, StoreError.OUTCOME_UNKNOWN)
    }
}
