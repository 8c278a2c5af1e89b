package org.bramleytrestle.serving

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import org.bramleytrestle.store.BatchWatchStore
import org.bramleytrestle.store.StoreError
import org.bramleytrestle.store.StoredObject
import org.bramleytrestle.store.StoredObjectList
import org.bramleytrestle.store.WatchBatch
import org.bramleytrestle.store.WatchEvent

class KindWatcherTest {
    private fun item(version: Long) = StoredObject("k", "n$version", version, JsonNull)

    private fun batch(version: Long, vararg items: Long): Result<WatchBatch, StoreError> =
        Ok(WatchBatch(version, items.map { WatchEvent(item(it)) }))

    /** A store whose lists and watches return scripted answers and then suspend forever. */
    private class ScriptedStore(
        lists: List<Result<StoredObjectList, StoreError>>,
        watches: List<Result<WatchBatch, StoreError>>,
        private val clock: FakeClock,
        private val suspension: Duration
    ) : BatchWatchStore {
        private val lists = ArrayDeque(lists)
        private val watches = ArrayDeque(watches)
        val positions = mutableListOf<Long>()
        val waits = mutableListOf<Duration>()

        override suspend fun list(kind: String, fromName: String?, limit: Int?) =
            lists.removeFirstOrNull() ?: awaitCancellation()

        override suspend fun watchBatch(
            kind: String,
            afterVersion: Long,
            wait: Duration
        ): Result<WatchBatch, StoreError> {
            positions += afterVersion
            waits += wait
            val answer = watches.removeFirstOrNull() ?: awaitCancellation()
            if (answer.getOrElse { null }?.events?.isEmpty() == true) {
                delay(wait)
                clock.advance(wait - suspension)
                // Only the wall clock counts the time for which the machine was suspended.
                val wallMillis = clock.moment.wallMillis + suspension.inWholeMilliseconds
                clock.moment = clock.moment.copy(wallMillis = wallMillis)
            } else {
                clock.advance(EVENT_TIME)
            }
            return answer
        }

        override suspend fun get(kind: String, name: String) = error("not used")

        override suspend fun create(kind: String, name: String, value: JsonElement) =
            error("not used")

        override suspend fun update(
            kind: String,
            name: String,
            value: JsonElement,
            ifVersion: Long
        ) = error("not used")

        override suspend fun delete(kind: String, name: String, ifVersion: Long) = error("not used")

        override suspend fun watch(kind: String, afterVersion: Long, timeout: Duration) =
            error("not used")
    }

    private companion object {
        /** Time after which a scripted watch returns with events. */
        val EVENT_TIME = 2.seconds
        val EVENT_TIME_NANOS = EVENT_TIME.inWholeNanoseconds
    }

    private val clock = FakeClock()
    private val seen = mutableListOf<String>()
    private val confirmed = mutableListOf<Moment>()

    private fun watch(
        lists: List<Result<StoredObjectList, StoreError>>,
        watches: List<Result<WatchBatch, StoreError>>,
        suspension: Duration = Duration.ZERO
    ): ScriptedStore {
        val store = ScriptedStore(lists, watches, clock, suspension)
        runTest {
            val copy = KindCopy(
                "k",
                onList = { seen += "list ${it.items.size}" },
                onBatch = { it.events.forEach { event -> seen += "change ${event.item.version}" } },
                onConfirmed = { confirmed += it },
                now = clock::now
            )
            val watcher = KindWatcher(store, copy, now = clock::now)
            val job = launch { watcher.run() }
            delay(60.seconds)
            job.cancel()
        }
        return store
    }

    private val list = Ok(StoredObjectList(10, listOf(item(4))))

    @Test
    fun `a watch without events continues from the store's revision and never expires`() {
        val store = watch(listOf(list), listOf(batch(15), batch(30), batch(31, 31)))
        assertEquals(listOf(10L, 15L, 30L, 31L), store.positions)
        assertEquals(listOf("list 1", "change 31"), seen)
    }

    @Test
    fun `an expired history leads to a new list, so that no change is missed`() {
        watch(listOf(list, list), listOf(Err(StoreError.EXPIRED), batch(12, 12)))
        assertEquals(listOf("list 1", "list 1", "change 12"), seen)
    }

    @Test
    fun `a failed watch continues from the same position`() {
        val store = watch(
            listOf(Err(StoreError.UNAVAILABLE), list),
            listOf(Err(StoreError.UNAVAILABLE), batch(11, 11))
        )
        assertEquals(listOf(10L, 10L, 11L), store.positions)
    }

    @Test
    fun `a watch with events confirms only the time at which it was sent`() {
        val sent = clock.now()
        watch(listOf(list), listOf(batch(11, 11)))
        assertEquals(listOf(sent, sent), confirmed)
    }

    @Test
    fun `late events shorten the next watch, so that the time between confirmations is bounded`() {
        val store = watch(listOf(list), listOf(batch(11, 11), batch(12), batch(13)))
        assertEquals(listOf(3.seconds, 1.seconds, 3.seconds, 3.seconds), store.waits)
    }

    @Test
    fun `a watch without events confirms the end of its wait`() {
        val sent = clock.now()
        watch(listOf(list), listOf(batch(10)))
        assertEquals(listOf(sent, sent + 3.seconds), confirmed)
    }

    /** Guards against requests that are refused because later confirmations count as earlier. */
    @Test
    fun `no confirmation lies in the future after the machine was suspended`() {
        watch(listOf(list), listOf(batch(10), batch(10, 11)), suspension = 1.seconds)
        val end = clock.now().monotonicNanos
        assertEquals(confirmed.sortedBy { it.monotonicNanos }, confirmed)
        assertEquals(emptyList(), confirmed.filter { it.monotonicNanos > end - EVENT_TIME_NANOS })
        assertEquals(3, confirmed.size)
    }
}
