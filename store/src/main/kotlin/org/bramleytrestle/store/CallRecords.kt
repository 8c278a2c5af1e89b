package org.bramleytrestle.store

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.bramleytrestle.store.CallRecord.State

/**
 * Ensures that a non-repeatable call runs at most once, whichever nodes receive the caller's
 * retries. A record is created in the object store before the call is sent.
 *
 * [run] must be running on every node; it retries the updates that could not be stored immediately.
 *
 * @param retention age at which [deleteExpired] deletes a finished record.
 * @param unknownRetention age at which it deletes a record whose outcome was never stored.
 */
public class CallRecords(
    private val store: ObjectStore,
    private val retryDelay: Duration = 100.milliseconds,
    private val retention: Duration = 1.days,
    private val unknownRetention: Duration = 7.days,
    private val nowMillis: () -> Long = System::currentTimeMillis
) {
    private class FinalUpdate(val claim: CallClaim, val state: State, val outcome: JsonElement?)

    private val pending = Channel<FinalUpdate>(MAX_PENDING)

    /**
     * Tries to claim the call of [key] for [attemptId], which must be globally unique. Returns
     * within [limit]. Callers must not cancel this function: a record that was created before the
     * cancellation would never be closed.
     */
    public suspend fun begin(
        key: CallKey,
        attemptId: String,
        limit: Duration = 2.seconds
    ): BeginOutcome {
        val name = key.recordName
        var mayExist = true
        val outcome = withTimeoutOrNull(limit) {
            tryBegin(name, attemptId) { mayExist = it }
        }
        if (outcome != null) return outcome
        // The record may exist although the call was never sent; close it so that a retry can run.
        if (mayExist) {
            val claim = CallClaim(name, attemptId, 0)
            finish(FinalUpdate(claim, State.NOT_RUN, null), immediately = false)
        }
        return BeginOutcome.Unavailable
    }

    /** Stores the outcome of a call that ran; [run] retries until the platform responds. */
    public suspend fun complete(claim: CallClaim, outcome: JsonElement): Unit =
        finish(FinalUpdate(claim, State.COMPLETED, outcome))

    /** Records that the attempt is proven not to have run, so that another attempt may run. */
    public suspend fun markNotRun(claim: CallClaim): Unit =
        finish(FinalUpdate(claim, State.NOT_RUN, null))

    /** Retries the updates that could not be stored immediately. Runs until cancelled. */
    public suspend fun run(): Nothing {
        while (true) {
            val update = pending.receive()
            while (!tryStore(update)) delay(retryDelay * PENDING_DELAY_FACTOR)
        }
    }

    /**
     * Makes one pass over the records and deletes the expired ones, at most [perSecond] per
     * second. Only one node should run it at a time.
     */
    public suspend fun deleteExpired(perSecond: Int = 20) {
        var from = ""
        while (true) {
            val page = store.list(KIND, from, EXPIRY_PAGE).getOrElse { return }.items
            for (item in page.filter(::isExpired)) {
                store.delete(KIND, item.name, item.version)
                delay(1.seconds / perSecond)
            }
            if (page.size < EXPIRY_PAGE) return
            from = page.last().name + "0"
            delay(1.seconds)
        }
    }

    /**
     * Returns null if no attempt gave a definite result. In that case [setMayExist] receives
     * whether one of the writes may have taken effect.
     */
    private suspend fun tryBegin(
        name: String,
        attemptId: String,
        setMayExist: (Boolean) -> Unit
    ): BeginOutcome? {
        var mayExist = false
        repeat(BEGIN_ATTEMPTS) { attempt ->
            if (attempt > 0) delay(retryDelay)
            val error = store.create(KIND, name, started(attemptId))
                .mapBoth({ return granted(name, attemptId, it) }, { it })
            val outcome = when (error) {
                StoreError.UNAVAILABLE -> if (mayExist) null else BeginOutcome.Unavailable
                else -> beginFromExisting(name, attemptId)
            }
            if (outcome != null) return outcome
            mayExist = mayExist || error != StoreError.UNAVAILABLE
        }
        setMayExist(mayExist)
        return null
    }

    /** Decides based on the existing record; returns null if the caller must try again. */
    private suspend fun beginFromExisting(name: String, attemptId: String): BeginOutcome? {
        val found = store.get(KIND, name).getOrElse { return null }
        val record = decoded(found)
        return when {
            record.attemptId == attemptId && record.state == State.STARTED ->
                granted(name, attemptId, found)

            record.state == State.STARTED -> BeginOutcome.InProgressOrUnknown

            record.state == State.COMPLETED -> BeginOutcome.Completed(checkNotNull(record.outcome))

            else -> store.update(KIND, name, started(attemptId), found.version)
                .mapBoth({ granted(name, attemptId, it) }, { null })
        }
    }

    private fun granted(name: String, attemptId: String, item: StoredObject) =
        BeginOutcome.Granted(CallClaim(name, attemptId, item.version))

    private suspend fun finish(update: FinalUpdate, immediately: Boolean = true) {
        if (immediately && tryStore(update) || pending.trySend(update).isSuccess) return
        log.warn {
            "platform: calls/${update.claim.name}: state ${update.state} not stored, " +
                "$MAX_PENDING updates are already pending"
        }
    }

    /** Returns true if [update] is stored or its claim on the record is no longer open. */
    private suspend fun tryStore(update: FinalUpdate): Boolean {
        val claim = update.claim
        val value = encoded(CallRecord(claim.attemptId, update.state, nowMillis(), update.outcome))
        var version = claim.version
        repeat(FINISH_ATTEMPTS) {
            if (version > 0) {
                val error = store.update(KIND, claim.name, value, version)
                    .mapBoth({ return true }, { it })
                if (error == StoreError.NOT_FOUND) return true
                if (error == StoreError.UNAVAILABLE) return false
            }
            val found = store.get(KIND, claim.name)
                .getOrElse { return it == StoreError.NOT_FOUND && version == 0L }
            val record = decoded(found)
            val open = record.attemptId == claim.attemptId && record.state == State.STARTED
            if (!open && found.version > version) return true
            version = maxOf(version, found.version)
        }
        return false
    }

    private fun isExpired(item: StoredObject): Boolean {
        val record = decoded(item)
        val age = (nowMillis() - record.changedMillis).milliseconds
        return age > if (record.state == State.STARTED) unknownRetention else retention
    }

    private fun started(attemptId: String) =
        encoded(CallRecord(attemptId, State.STARTED, nowMillis()))

    private fun encoded(record: CallRecord) =
        format.encodeToJsonElement(CallRecord.serializer(), record)

    private fun decoded(item: StoredObject) =
        format.decodeFromJsonElement(CallRecord.serializer(), item.value)

    private companion object {
        const val KIND = "calls"
        const val BEGIN_ATTEMPTS = 5
        const val FINISH_ATTEMPTS = 3
        const val MAX_PENDING = 10_000
        const val PENDING_DELAY_FACTOR = 10
        const val EXPIRY_PAGE = 500
        val log = KotlinLogging.logger {}
        val format = Json { ignoreUnknownKeys = true }
    }
}
