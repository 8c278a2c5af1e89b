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
import org.bramleytrestle.model.guarded

/**
 * A lease whose holder has the exclusive right to send orders. Time is measured only with the
 * monotonic clock of this process.
 *
 * A held lease is valid for its duration from the moment before the acquiring or renewing request
 * was sent. The lease of another holder has expired when the version of its record has not changed
 * for the full duration since this process first observed that version. The record is never
 * deleted, so that fencing numbers only increase.
 *
 * A store that comes back from an older copy may have lost the record of the present holder. The
 * holder writes it again while its lease is valid. Any other process first waits for a full
 * duration, whatever the older record says, and fencing numbers start above those of earlier eras.
 */
public class Lease internal constructor(
    private val store: ObjectStore,
    public val name: String,
    private val holder: String,
    private val duration: Duration,
    private val maxOrderDuration: Duration,
    timeSource: TimeSource,
    private val isPreviousRun: (holder: String) -> Boolean
) {
    private class HeldLease(
        val fencingNumber: Long,
        val version: Long,
        val renewals: Long,
        val validUntil: Duration
    )

    private val start = timeSource.markNow()
    private val mutex = Mutex()
    private var observedVersion = 0L
    private var observedAt = Duration.ZERO

    /** Era in which the record was first found missing, and when; null if it was there since. */
    private var missing: Pair<Long, Duration>? = null

    @Volatile
    private var held: HeldLease? = null

    @Volatile
    private var unfencedAllowedAt = Duration.ZERO

    /** Time for which this process is guaranteed to hold the lease; zero if it does not hold it. */
    public val remaining: Duration
        get() = held?.let { maxOf(Duration.ZERO, it.validUntil - now()) } ?: Duration.ZERO

    /**
     * Whether orders may be sent to servers that ignore fencing numbers, that is, whether no order
     * of an earlier holder can still take effect. After a takeover this is the case once the lease
     * duration and [maxOrderDuration] have passed; after a release, [maxOrderDuration] suffices.
     */
    public val unfencedOrdersAllowed: Boolean
        get() = remaining > Duration.ZERO && now() >= unfencedAllowedAt

    /** Renews the lease, or acquires it if it is free or expired. Returns whether it is held. */
    public suspend fun acquireOrRenew(): Boolean = mutex.withLock {
        if (remaining == Duration.ZERO) held = null
        val current = held
        if (current != null) renew(current) else acquire()
        remaining > Duration.ZERO
    }

    /**
     * Acquires and renews the lease until cancelled, with several attempts per lease duration.
     *
     * @param isStandby whether this process observes the lease while it is not eligible. Once it is
     * eligible, it can then take over one duration after the last renewal, instead of one duration
     * after it became eligible.
     */
    public suspend fun maintain(
        eligible: () -> Boolean = { true },
        isStandby: () -> Boolean = { false }
    ): Nothing {
        var wasHeld = false
        while (true) {
            guarded("lease $name") {
                if (eligible()) {
                    acquireOrRenew()
                } else {
                    release()
                    if (isStandby()) observe()
                }
            }
            val isHeld = remaining > Duration.ZERO
            if (isHeld != wasHeld) {
                wasHeld = isHeld
                log.info {
                    "lease: name=$name holder=$holder held=$isHeld " +
                        "version=${StoreVersion.text(observedVersion)}"
                }
            }
            delay(duration / ATTEMPTS_PER_DURATION)
        }
    }

    /** Reads the version of the lease record; its age determines when the lease expires. */
    public suspend fun observe(): Unit = mutex.withLock {
        store.get(KIND, name).mapBoth(
            { recordVersion(it.version) },
            { log.debug { "lease: name=$name cannot be read: $it" } }
        )
    }

    /** Releases the lease, so that another holder does not have to wait until it expires. */
    public suspend fun release(): Unit = mutex.withLock {
        val current = held ?: return
        held = null
        val record = LeaseRecord(
            null,
            current.fencingNumber,
            duration.inWholeMilliseconds,
            era = StoreVersion.era(current.version)
        )
        store.update(KIND, name, encoded(record), current.version)
    }

    /**
     * Runs [order] with the fencing number if the lease remains valid for at least [maxDuration],
     * the longest time in which the order can take effect. Otherwise returns null.
     */
    public suspend fun <T : Any> ifHeld(
        maxDuration: Duration = maxOrderDuration,
        order: suspend (fencingNumber: Long) -> T
    ): T? {
        require(maxDuration <= maxOrderDuration) {
            "order duration: got $maxDuration, expected at most $maxOrderDuration"
        }
        val current = held ?: return null
        return if (current.validUntil - now() >= maxDuration) order(current.fencingNumber) else null
    }

    private suspend fun renew(current: HeldLease) {
        val record = renewed(current, StoreVersion.era(current.version))
        val sentAt = now()
        store.update(KIND, name, encoded(record), current.version)
            .mapBoth({ setHeld(record, it, sentAt) }, { onRenewalFailed(current, it) })
    }

    private fun renewed(current: HeldLease, era: Long) = LeaseRecord(
        holder,
        current.fencingNumber,
        duration.inWholeMilliseconds,
        current.renewals + 1,
        era
    )

    /** Reads the current version for the next renewal, but never extends the lease. */
    private suspend fun onRenewalFailed(current: HeldLease, error: StoreError) {
        if (error == StoreError.UNAVAILABLE) return
        val found = store.get(KIND, name).getOrElse {
            if (it == StoreError.NOT_FOUND) writeLostRecord(current)
            return
        }
        if (found.version < current.version) return
        val record = decoded(found)
        val isOwn = record.holder == holder && record.fencingNumber == current.fencingNumber
        val isLost = record.era < StoreVersion.era(found.version)
        held = if (isOwn || isLost) {
            HeldLease(current.fencingNumber, found.version, record.renewals, current.validUntil)
        } else {
            null
        }
    }

    private suspend fun writeLostRecord(current: HeldLease) {
        if (remaining == Duration.ZERO) return
        val record = renewed(current, store.era)
        val sentAt = now()
        store.create(KIND, name, encoded(record)).mapBoth(
            { setHeld(record, it, sentAt) },
            { log.warn { "lease: name=$name lost by the store and not written again: $it" } }
        )
    }

    private suspend fun acquire() {
        val found = store.get(KIND, name).getOrElse {
            if (it == StoreError.NOT_FOUND) createFirst()
            return
        }
        missing = null
        recordVersion(found.version)
        val record = decoded(found)
        val era = StoreVersion.era(found.version)
        val isLost = record.era < era
        val leaseDuration = maxOf(duration, record.durationMillis.milliseconds)
        // The record names this holder if the response to an earlier write was lost, or if the
        // lease expired without a successor.
        val lastHolder = record.holder
        val free = lastHolder == null || lastHolder == holder || isPreviousRun(lastHolder)
        if ((isLost || !free) && now() - observedAt < leaseDuration) return
        val next = LeaseRecord(
            holder,
            maxOf(record.fencingNumber + 1, firstFencingNumber(era)),
            duration.inWholeMilliseconds,
            era = era
        )
        val sentAt = now()
        val released = record.holder == null && !isLost
        val unfencedDelay = if (released) maxOrderDuration else leaseDuration + maxOrderDuration
        tryAcquire(next, sentAt, unfencedDelay) {
            store.update(KIND, name, encoded(next), found.version)
        }
    }

    private suspend fun createFirst() {
        val era = store.era
        val mayBeLost = era > 0
        if (missing?.first != era) missing = era to now()
        if (mayBeLost && now() - checkNotNull(missing).second < duration) return
        val first = LeaseRecord(
            holder,
            firstFencingNumber(era),
            duration.inWholeMilliseconds,
            era = era
        )
        val unfencedDelay = if (mayBeLost) duration + maxOrderDuration else Duration.ZERO
        tryAcquire(first, now(), unfencedDelay) { store.create(KIND, name, encoded(first)) }
    }

    private fun firstFencingNumber(era: Long) = maxOf(1, era * FENCING_NUMBERS_PER_ERA)

    private suspend fun tryAcquire(
        record: LeaseRecord,
        sentAt: Duration,
        unfencedDelay: Duration,
        write: suspend () -> Result<StoredObject, StoreError>
    ) {
        val stored = write().getOrElse { return }
        unfencedAllowedAt = now() + unfencedDelay
        setHeld(record, stored, sentAt)
    }

    private fun setHeld(record: LeaseRecord, stored: StoredObject, sentAt: Duration) {
        held = HeldLease(record.fencingNumber, stored.version, record.renewals, sentAt + duration)
    }

    private fun recordVersion(version: Long) {
        if (version <= observedVersion) return
        observedVersion = version
        observedAt = now()
    }

    private fun now() = start.elapsedNow()

    private fun encoded(record: LeaseRecord) =
        format.encodeToJsonElement(LeaseRecord.serializer(), record)

    /**
     * The record in [item]. One that cannot be read may hide a holder whose lease is valid, and the
     * last fencing number: the lease was acquired at most once with each revision.
     */
    private fun decoded(item: StoredObject): LeaseRecord = try {
        format.decodeFromJsonElement(LeaseRecord.serializer(), item.value)
    } catch (e: IllegalArgumentException) {
        val era = StoreVersion.era(item.version)
        log.error { "lease: name=$name record cannot be read, held by an unknown holder: $e" }
        LeaseRecord(
            UNKNOWN_HOLDER,
            firstFencingNumber(era) + StoreVersion.revision(item.version),
            duration.inWholeMilliseconds,
            era = era
        )
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val KIND = "leases"
        const val UNKNOWN_HOLDER = "unknown"
        const val ATTEMPTS_PER_DURATION = 4

        /** More than the takeovers between two returns of the store from an older copy. */
        const val FENCING_NUMBERS_PER_ERA = 1L shl 32
        val format = Json { ignoreUnknownKeys = true }
    }
}
