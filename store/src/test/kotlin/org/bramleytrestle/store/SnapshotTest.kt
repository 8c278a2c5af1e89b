package org.bramleytrestle.store

import com.github.michaelbull.result.getOrThrow
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.double
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.bramleytrestle.settings.Change

class SnapshotTest {
    private fun tree(revision: Long) = buildJsonObject { put("revision", revision) }

    private fun log(store: ObjectStore) =
        ChangeLog(store, snapshotInterval = 10, retainedChanges = 25)

    private suspend fun appendChanges(store: FakeObjectStore, revisions: LongRange) {
        val log = log(store)
        for (revision in revisions) {
            val change = Change(revision, "c$revision", "ana", "test", 0, tree(revision))
            assertEquals(AppendOutcome.Accepted, log.append(change))
            log.snapshotIfDue(revision, tree(revision))
        }
    }

    private suspend fun load(store: ObjectStore) =
        log(store).load().getOrThrow { error("load: $it") }

    // Guards against a load that uses a partially written snapshot or misses a change after outages
    // and lost responses during the write of a snapshot.
    @Test
    fun `a load is complete despite failed snapshot writes`() = runTest {
        checkAll(50, PropTestConfig(seed = 41), Arb.long(), Arb.double(0.0, 0.5)) { seed, loss ->
            val store = FakeObjectStore(Random(seed))
            store.responseLossProbability = loss
            val snapshots = SnapshotStore(store, 1.milliseconds, partChars = 8)
            for (revision in 1L..20) {
                val change = Change(revision, "c$revision", "ana", "test", 0, tree(revision))
                while (log(store).append(change) != AppendOutcome.Accepted) Unit
                if (revision % 5 != 0L) continue
                val outage = launch {
                    delay(Random(seed + revision).nextLong(20))
                    store.down = true
                }
                store.latency = 1.milliseconds
                snapshots.write(revision, tree(revision))
                outage.join()
                store.latency = 0.milliseconds
                store.down = false
            }
            val loaded = load(store)
            if (loaded.revision > 0) assertEquals(tree(loaded.revision), loaded.tree)
            assertEquals((loaded.revision + 1..20).toList(), loaded.changes.map { it.revision })
        }
    }

    @Test
    fun `trimming keeps the audit trail, two snapshots and a complete load`() = runTest {
        val store = FakeObjectStore()
        appendChanges(store, 1L..55)
        val before = currentTime
        log(store).trim(perSecond = 5)
        val names = store.names("changes")
        assertEquals(30, names.size, "the latest snapshot is 50, minus 25 retained changes")
        assertEquals("0000000026", names.first())
        assertEquals(4, store.names("snapshots").size, "two manifests with one part each")
        assertTrue(currentTime - before >= 31 * 200)
        assertEquals(50, load(store).revision)
        assertEquals(5, load(store).changes.size)
    }

    @Test
    fun `a restart needs few calls`() = runTest {
        val store = FakeObjectStore()
        appendChanges(store, 1L..59)
        val before = store.calls
        load(store)
        assertEquals(3, store.calls - before, "manifests, one part, one page of changes")
    }

    @Test
    fun `a large snapshot is split into parts below the size limit of the platform`() = runTest {
        val store = FakeObjectStore()
        val random = Random(1)
        val large = JsonObject(List(60_000) { "k$it" to JsonPrimitive(random.nextLong()) }.toMap())
        assertTrue(SnapshotStore(store, 1.milliseconds).write(1, large))
        val sizes = store.names("snapshots").map {
            store.stored("snapshots", it)!!.value.toString().length
        }
        assertTrue(sizes.size > 2 && sizes.all { it < 1_000_000 }, "$sizes")
        assertEquals(
            1L to large,
            SnapshotStore(store, 1.milliseconds).latest().getOrThrow {
                error("$it")
            }
        )
    }
}
