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
 * Records of calls that may not be repeated. A record is created before the call is sent, so that
 * at most one attempt runs it, on whichever node the caller's repetitions arrive.
 *
 * Call [run] on each node: it retries the outcomes that could not be stored at once.
 *
 * @param retention age at which a finished record is deleted by [sweep].
 * @param unknownRetention the same for a record whose outcome was never stored.
 */
public class CallRecords(
    private val store: ObjectStore,
    private val retryDelay: Duration = 100.milliseconds,
    private val retention: Duration = 1.days,
    private val unknownRetention: Duration = 7.days,
    private val nowMillis: () -> Long = System::currentTimeMillis
) {
    private class Ending(val call: RecordedCall, val state: State, val outcome: JsonElement?)

    private val pending = Channel<Ending>(MAX_PENDING)

    /**
     * Asks whether [attemptId], which no other attempt ever uses, may run the call of [key]. The
     * answer comes within [limit]; a caller must not cancel the question itself, because a record
     * that was created meanwhile would then stay open.
     */
    public suspend fun begin(
        key: CallKey,
        attemptId: String,
        limit: Duration = 2.seconds
    ): CallBegin {
        val name = key.recordName
        var lost = true
        val begin = withTimeoutOrNull(limit) {
            tryBegin(name, attemptId) { lost = it }
        }
        if (begin != null) return begin
        // The record may exist although the call was never sent; close it so that a retry can run.
        if (lost) end(Ending(RecordedCall(name, attemptId, 0), State.NOT_RUN, null), atOnce = false)
        return CallBegin.Unavailable
    }

    /** Stores the outcome of a call that ran; retried by [run] until the platform answers. */
    public suspend fun complete(call: RecordedCall, outcome: JsonElement): Unit =
        end(Ending(call, State.COMPLETED, outcome))

    /** Notes that the attempt is proven not to have run, so that another one may. */
    public suspend fun notRun(call: RecordedCall): Unit = end(Ending(call, State.NOT_RUN, null))

    /** Retries until cancelled to store the endings that could not be stored at once. */
    public suspend fun run(): Nothing {
        while (true) {
            val ending = pending.receive()
            while (!stored(ending)) delay(retryDelay * PENDING_DELAY_FACTOR)
        }
    }

    /** Deletes expired records once, at most [perSecond]; only one node should run it at a time. */
    public suspend fun sweep(perSecond: Int = 20) {
        var from = ""
        while (true) {
            val page = store.list(KIND, from, SWEEP_PAGE).getOrElse { return }.items
            for (item in page.filter(::expired)) {
                store.delete(KIND, item.name, item.version)
                delay(1.seconds / perSecond)
            }
            if (page.size < SWEEP_PAGE) return
            from = page.last().name + "0"
            delay(1.seconds)
        }
    }

    /** Null if no write was answered with certainty; [lost] learns whether one may be in force. */
    private suspend fun tryBegin(
        name: String,
        attemptId: String,
        lost: (Boolean) -> Unit
    ): CallBegin? {
        var unknown = false
        repeat(BEGIN_ATTEMPTS) { attempt ->
            if (attempt > 0) delay(retryDelay)
            val error = store.create(KIND, name, started(attemptId))
                .mapBoth({ return run(name, attemptId, it) }, { it })
            val begin = when (error) {
                StoreError.UNAVAILABLE -> if (unknown) null else CallBegin.Unavailable
                else -> existing(name, attemptId)
            }
            if (begin != null) return begin
            unknown = unknown || error != StoreError.UNAVAILABLE
        }
        lost(unknown)
        return null
    }

    /** Decides by the record that exists; null if that must be tried again. */
    private suspend fun existing(name: String, attemptId: String): CallBegin? {
        val found = store.get(KIND, name).getOrElse { return null }
        val record = decoded(found)
        return when {
            record.attemptId == attemptId && record.state == State.STARTED ->
                run(name, attemptId, found)

            record.state == State.STARTED -> CallBegin.InProgressOrUnknown

            record.state == State.COMPLETED -> CallBegin.Recorded(checkNotNull(record.outcome))

            else -> store.update(KIND, name, started(attemptId), found.version)
                .mapBoth({ run(name, attemptId, it) }, { null })
        }
    }

    private fun run(name: String, attemptId: String, item: StoredObject) =
        CallBegin.Run(RecordedCall(name, attemptId, item.version))

    private suspend fun end(ending: Ending, atOnce: Boolean = true) {
        if (atOnce && stored(ending) || pending.trySend(ending).isSuccess) return
        log.warn { "platform: calls/${ending.call.name}: outcome not stored, too many wait" }
    }

    /** Whether the ending is stored or the record belongs to no open attempt of this call. */
    private suspend fun stored(ending: Ending): Boolean {
        val call = ending.call
        val value = encoded(CallRecord(call.attemptId, ending.state, nowMillis(), ending.outcome))
        var version = call.version
        repeat(END_ATTEMPTS) {
            if (version > 0) {
                val error = store.update(KIND, call.name, value, version)
                    .mapBoth({ return true }, { it })
                if (error == StoreError.NOT_FOUND) return true
                if (error == StoreError.UNAVAILABLE) return false
            }
            val found = store.get(KIND, call.name)
                .getOrElse { return it == StoreError.NOT_FOUND && version == 0L }
            val record = decoded(found)
            val open = record.attemptId == call.attemptId && record.state == State.STARTED
            if (!open && found.version > version) return true
            version = maxOf(version, found.version)
        }
        return false
    }

    private fun expired(item: StoredObject): Boolean {
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
        const val END_ATTEMPTS = 3
        const val MAX_PENDING = 10_000
        const val PENDING_DELAY_FACTOR = 10
        const val SWEEP_PAGE = 500
        val log = KotlinLogging.logger {}
        val format = Json { ignoreUnknownKeys = true }
    }
}
