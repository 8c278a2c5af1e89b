package org.bramleytrestle.serving

import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import org.bramleytrestle.store.ChangeSource
import org.bramleytrestle.store.StoreError
import org.bramleytrestle.store.StoredObject
import org.bramleytrestle.store.WatchEvent

/**
 * Keeps the node's copy of one kind of objects equal to the store's.
 *
 * @param onList the whole kind, after a start or after a gap in the watch.
 * @param onConfirmed called with the moment up to which the copy is known to be complete.
 * @param onRecovered called before the first list or change after the store was away.
 * @param pause time after changes in which more of them gather, as each answer is paid for.
 */
public class KindWatcher(
    private val store: ChangeSource,
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
                    answered()
                    onList(list.items)
                    onConfirmed(sentAt)
                    follow(list.version)
                },
                { failed("list", it) }
            )
        }
    }

    private suspend fun follow(listed: Long) {
        var version = listed
        var wait = WAIT
        while (true) {
            val sentAt = now()
            val batch = store.changes(kind, version, wait).mapBoth(
                { it },
                { error ->
                    if (error == StoreError.EXPIRED) {
                        log.info { "store: kind=$kind history after $version is gone, listing" }
                        return
                    }
                    failed("watch", error)
                    null
                }
            ) ?: continue
            answered()
            batch.events.forEach(onChange)
            version = maxOf(version, batch.version)
            // A watch without events was answered after the whole wait, so it speaks of that time.
            // One with events speaks of an unknown time after it was sent, so the next is shorter.
            val taken = now().since(sentAt)
            val quiet = batch.events.isEmpty() && taken >= wait
            onConfirmed(if (quiet) sentAt + wait else sentAt)
            wait = if (quiet) WAIT else (WAIT - taken).coerceAtLeast(SHORTEST_WAIT)
            if (batch.events.isNotEmpty()) delay(pause)
        }
    }

    private fun answered() {
        val since = failingSince ?: return
        failingSince = null
        val away = now().since(since)
        log.info { "store: kind=$kind answers again after $away" }
        if (away > NOTABLE_OUTAGE) onRecovered()
    }

    private suspend fun failed(call: String, error: StoreError) {
        if (failingSince == null) {
            failingSince = now()
            log.warn { "store: kind=$kind $call failed: $error" }
        }
        delay(RETRY * (1 + Random.nextDouble()))
    }

    private companion object {
        val log = KotlinLogging.logger {}

        /** Short enough that a connection that fell silent is noticed before a key outlives it. */
        val WAIT = 3.seconds

        /** Wait of a watch that follows one with events after almost the whole wait. */
        val SHORTEST_WAIT = 200.milliseconds

        /** Time between two calls to a store that fails. */
        val RETRY = 150.milliseconds

        /** Shorter outages let no entry lapse. */
        val NOTABLE_OUTAGE = 1.seconds
    }
}
