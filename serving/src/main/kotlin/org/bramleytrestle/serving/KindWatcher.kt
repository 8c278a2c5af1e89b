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
import org.bramleytrestle.store.StoreVersion

/**
 * Keeps [copy] in sync with the store, by list and watch.
 *
 * @param longestWait longest wait of a watch, and so the longest time between confirmations.
 * @param pause delay after changes, so that more of them are batched into one billed response.
 */
public class KindWatcher(
    private val store: BatchWatchStore,
    private val copy: KindCopy,
    private val pause: Duration = Duration.ZERO,
    private val longestWait: Duration = KindCopy.DEFAULT_WAIT,
    private val now: () -> Moment = Moment::now
) {
    private var failingSince: Moment? = null
    private var failures = 0

    /** Watches from the copy's version, or lists first if there is none, until cancelled. */
    public suspend fun run(): Nothing {
        copy.version?.let { watch(it) }
        while (true) {
            val sentAt = now()
            store.list(copy.kind).mapBoth(
                { list ->
                    onResponse()
                    copy.list(list)
                    copy.confirm(sentAt)
                    watch(list.version)
                },
                { onFailure("list", it, sentAt) }
            )
        }
    }

    private suspend fun watch(listed: Long) {
        var version = listed
        var wait = longestWait
        while (true) {
            val sentAt = now()
            val batch = store.watchBatch(copy.kind, version, wait).mapBoth(
                { it },
                { error ->
                    if (error == StoreError.EXPIRED) {
                        log.info {
                            "store: kind=${copy.kind} history after ${StoreVersion.text(
                                version
                            )} " +
                                "expired, listing"
                        }
                        return
                    }
                    onFailure("watch", error, sentAt)
                    null
                }
            ) ?: continue
            onResponse()
            copy.apply(batch)
            version = maxOf(version, batch.version)
            // A watch without events was answered at the end of its wait and confirms that time.
            // One with events was answered at an unknown time after it was sent, so it confirms
            // only the time of sending, and the next wait is shortened to make up for it.
            val elapsed = now().since(sentAt)
            val timedOut = batch.events.isEmpty() && elapsed >= wait
            copy.confirm(if (timedOut) (sentAt + wait).notAfter(now()) else sentAt)
            wait = if (timedOut) longestWait else (longestWait - elapsed).coerceAtLeast(MIN_WAIT)
            if (batch.events.isNotEmpty()) delay(pause)
        }
    }

    private fun onResponse() {
        val since = failingSince ?: return
        failingSince = null
        failures = 0
        val outage = now().since(since)
        log.info { "store: kind=${copy.kind} answers again after $outage" }
        if (outage > MIN_OUTAGE) copy.recovered()
    }

    private suspend fun onFailure(call: String, error: StoreError, sentAt: Moment) {
        copy.failed()
        if (failingSince == null) {
            failingSince = now()
            // A call that fails at its time limit was not answered; an earlier failure was refused.
            log.warn {
                "store: kind=${copy.kind} $call failed: $error after ${now().since(sentAt)}, " +
                    "confirmed ${copy.age} ago"
            }
        }
        val retryDelay = RETRY_DELAY * (1 shl failures++.coerceAtMost(MAX_DOUBLINGS))
        delay(retryDelay * (1 + Random.nextDouble()))
    }

    private companion object {
        val log = KotlinLogging.logger {}

        /** Shortest wait, used after a watch that returned events near the end of its wait. */
        val MIN_WAIT = 200.milliseconds

        /** Shortest delay between two calls to a failing store; random jitter up to doubles it. */
        val RETRY_DELAY = 150.milliseconds

        /** Calls are billed during an outage too; entries may take 2 s to return after it. */
        const val MAX_DOUBLINGS = 2

        /** No entry expires during a shorter outage. */
        val MIN_OUTAGE = 1.seconds
    }
}
