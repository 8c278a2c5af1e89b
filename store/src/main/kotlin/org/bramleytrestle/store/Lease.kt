package org.bramleytrestle.store

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.json.Json

/**
 * The exclusive right to give orders, held for a time that only the own monotonic clock measures.
 *
 * Validity counts from before the request that gained or renewed the lease was sent. The lease of
 * another holder has lapsed when its version stayed the same for its whole duration since the
 * version was first observed here; the record is never deleted, so that the fencing number rises.
 */
public class Lease internal constructor(
    private val store: ObjectStore,
    public val name: String,
    private val holder: String,
    private val duration: Duration,
    private val orderBound: Duration,
    timeSource: TimeSource,
    private val endedRun: (holder: String) -> Boolean
) {
    private class Held(
        val fencingNumber: Long,
        val version: Long,
        val renewals: Long,
        val validUntil: Duration
    )

    private val start = timeSource.markNow()
    private val steps = Mutex()
    private var observedVersion = 0L
    private var observedAt = Duration.ZERO

    @Volatile
    private var held: Held? = null

    @Volatile
    private var uncheckedFrom = Duration.ZERO

    /** Time for which the lease is certainly held; zero if it is not. */
    public val remaining: Duration
        get() = held?.let { maxOf(Duration.ZERO, it.validUntil - now()) } ?: Duration.ZERO

    /**
     * Whether servers that ignore fencing numbers may be ordered: a lease and an order bound after
     * it was gained, when no order of an earlier holder can take effect any more.
     */
    public val mayOrderUnchecked: Boolean
        get() = remaining > Duration.ZERO && now() >= uncheckedFrom

    /** Renews a held lease, or takes it if it is free or has lapsed. True if it is held now. */
    public suspend fun acquireOrRenew(): Boolean = steps.withLock {
        if (remaining == Duration.ZERO) held = null
        val current = held
        if (current != null) renew(current) else acquire()
        remaining > Duration.ZERO
    }

    /**
     * Keeps trying to hold the lease until cancelled, several times per duration.
     *
     * @param isStandby whether a process that is not eligible follows the lease, so that it can take
     * over one duration after the last renewal instead of one after it became eligible.
     */
    public suspend fun maintain(
        eligible: () -> Boolean = { true },
        isStandby: () -> Boolean = { false }
    ): Nothing {
        var holding = false
        while (true) {
            if (eligible()) {
                acquireOrRenew()
            } else {
                release()
                if (isStandby()) follow()
            }
            val holds = remaining > Duration.ZERO
            if (holds != holding) {
                holding = holds
                log.info { "lease: name=$name holder=$holder held=$holds version=$observedVersion" }
            }
            delay(duration / STEPS_PER_DURATION)
        }
    }

    /** Notes the lease's version, from whose age its end follows. */
    public suspend fun follow(): Unit = steps.withLock {
        store.get(KIND, name).mapBoth(
            { observe(it.version) },
            { log.debug { "lease: name=$name cannot be read: $it" } }
        )
    }

    /** Gives the lease up, so that another holder need not wait for its end. */
    public suspend fun release(): Unit = steps.withLock {
        val current = held ?: return
        held = null
        val record = LeaseRecord(null, current.fencingNumber, duration.inWholeMilliseconds)
        store.update(KIND, name, encoded(record), current.version)
    }

    /**
     * Runs [order] with the fencing number if the lease is valid for [bound], the longest time in
     * which the order can take effect, from now on. Null without a run otherwise.
     */
    public suspend fun <T : Any> ifHeld(
        bound: Duration = orderBound,
        order: suspend (fencingNumber: Long) -> T
    ): T? {
        require(bound <= orderBound) { "order bound: got $bound, expected at most $orderBound" }
        val current = held ?: return null
        return if (current.validUntil - now() >= bound) order(current.fencingNumber) else null
    }

    private suspend fun renew(current: Held) {
        val record = LeaseRecord(
            holder,
            current.fencingNumber,
            duration.inWholeMilliseconds,
            current.renewals + 1
        )
        val sentAt = now()
        store.update(KIND, name, encoded(record), current.version)
            .mapBoth({ gained(record, it, sentAt) }, { readBack(current, it) })
    }

    /** After a failed renewal: learns the version for the next one, but never extends the lease. */
    private suspend fun readBack(current: Held, error: StoreError) {
        if (error == StoreError.UNAVAILABLE) return
        val found = store.get(KIND, name).getOrElse { return }
        if (found.version < current.version) return
        val record = decoded(found)
        val own = record.holder == holder && record.fencingNumber == current.fencingNumber
        held = if (own) {
            Held(record.fencingNumber, found.version, record.renewals, current.validUntil)
        } else {
            null
        }
    }

    private suspend fun acquire() {
        val found = store.get(KIND, name).getOrElse {
            if (it == StoreError.NOT_FOUND) createFirst()
            return
        }
        observe(found.version)
        val record = decoded(found)
        val term = maxOf(duration, record.durationMillis.milliseconds)
        // The own name shows after a lost answer or after the lease lapsed unused.
        val last = record.holder
        val free = last == null || last == holder || endedRun(last)
        if (!free && now() - observedAt < term) return
        val next = LeaseRecord(holder, record.fencingNumber + 1, duration.inWholeMilliseconds)
        val sentAt = now()
        take(next, sentAt, if (record.holder == null) orderBound else term + orderBound) {
            store.update(KIND, name, encoded(next), found.version)
        }
    }

    private suspend fun createFirst() {
        val first = LeaseRecord(holder, 1, duration.inWholeMilliseconds)
        take(first, now(), Duration.ZERO) { store.create(KIND, name, encoded(first)) }
    }

    private suspend fun take(
        record: LeaseRecord,
        sentAt: Duration,
        wait: Duration,
        write: suspend () -> Result<StoredObject, StoreError>
    ) {
        val stored = write().getOrElse { return }
        uncheckedFrom = now() + wait
        gained(record, stored, sentAt)
    }

    private fun gained(record: LeaseRecord, stored: StoredObject, sentAt: Duration) {
        held = Held(record.fencingNumber, stored.version, record.renewals, sentAt + duration)
    }

    private fun observe(version: Long) {
        if (version <= observedVersion) return
        observedVersion = version
        observedAt = now()
    }

    private fun now() = start.elapsedNow()

    private fun encoded(record: LeaseRecord) =
        format.encodeToJsonElement(LeaseRecord.serializer(), record)

    private fun decoded(item: StoredObject) =
        format.decodeFromJsonElement(LeaseRecord.serializer(), item.value)

    private companion object {
        val log = KotlinLogging.logger {}
        const val KIND = "leases"
        const val STEPS_PER_DURATION = 4
        val format = Json { ignoreUnknownKeys = true }
    }
}
