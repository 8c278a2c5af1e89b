package org.bramleytrestle.serving

import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import org.bramleytrestle.store.BatchWatchStore
import org.bramleytrestle.store.StoreError
import org.bramleytrestle.store.StoredObject
import org.bramleytrestle.store.WatchEvent

/**
 * Keeps a local copy of all objects of one kind in sync with the store, by list and watch.
 *
 * @param onList called with all objects of the kind, at the start and after a gap in the watch.
 * @param onConfirmed called with the time up to which the copy is known to be complete.
 * @param onRecovered called before the first list or change after a store outage.
 * @param pause delay after changes, so that more of them are batched into one billed response.
 */
public class KindWatcher(
    private val store: BatchWatchStore,
    private val kind: String,
    private val onList: (List<StoredObject>) -> Unit,
    private val onChange: (WatchEvent) -> Unit,
    private val onConfirmed: (Moment) -> Unit = {},
    private val onRecovered: () -> Unit = {},
    private val pause: Duration = Duration.ZERO,
    private val now: () -> Moment = Moment::now
) {
    private var failingSince: Moment? = null

    /** Lists and watches until cancelled. */
    public suspend fun run(): Nothing {
        while (true) {
            val sentAt = now()
            store.list(kind).mapBoth(
                { list ->
                    onResponse()
                    onList(list.items)
                    onConfirmed(sentAt)
                    watch(list.version)
                },
                { onFailure("list", it) }
            )
        }
    }

    private suspend fun watch(listed: Long) {
        var version = listed
        var wait = WAIT
        while (true) {
            val sentAt = now()
            val batch = store.watchBatch(kind, version, wait).mapBoth(
                { it },
                { error ->
                    if (error == StoreError.EXPIRED) {
                        log.info { "store: kind=$kind history after $version expired, listing" }
                        return
                    }
                    onFailure("watch", error)
                    null
                }
            ) ?: continue
            onResponse()
            batch.events.forEach(onChange)
            version = maxOf(version, batch.version)
            // A watch without events was answered at the end of its wait and confirms that time.
            // One with events was answered at an unknown time after it was sent, so it confirms
            // only the time of sending, and the next wait is shortened to make up for it.
            val elapsed = now().since(sentAt)
            val timedOut = batch.events.isEmpty() && elapsed >= wait
            onConfirmed(if (timedOut) sentAt + wait else sentAt)
            wait = if (timedOut) WAIT else (WAIT - elapsed).coerceAtLeast(MIN_WAIT)
            if (batch.events.isNotEmpty()) delay(pause)
        }
    }

    private fun onResponse() {
        val since = failingSince ?: return
        failingSince = null
        val outage = now().since(since)
        log.info { "store: kind=$kind answers again after $outage" }
        if (outage > MIN_OUTAGE) onRecovered()
    }

    private suspend fun onFailure(call: String, error: StoreError) {
        if (failingSince == null) {
            failingSince = now()
            log.warn { "store: kind=$kind $call failed: $error" }
        }
        delay(RETRY_DELAY * (1 + Random.nextDouble()))
    }

    private companion object {
        val log = KotlinLogging.logger {}

        /** Short enough to detect a dead connection before the key revocation time is exceeded. */
        val WAIT = 3.seconds

        /** Shortest wait, used after a watch that returned events near the end of its wait. */
        val MIN_WAIT = 200.milliseconds

        /** Shortest delay between two calls to a failing store; random jitter up to doubles it. */
        val RETRY_DELAY = 150.milliseconds

        /** No entry expires during a shorter outage. */
        val MIN_OUTAGE = 1.seconds
    }
}
