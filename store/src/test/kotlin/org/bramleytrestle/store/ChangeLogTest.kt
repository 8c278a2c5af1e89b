package org.bramleytrestle.store

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.double
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.take
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonObject
import org.bramleytrestle.settings.Change

class ChangeLogTest {
    private fun change(revision: Long, id: String = "c$revision") =
        Change(revision, id, "ana", "test", 0, JsonObject(emptyMap()))

    // Guards against two accepted changes at one revision, and against a stored change that is
    // reported as rejected because the response was lost.
    @Test
    fun `exactly one of two concurrent changes wins despite lost responses`() = runTest {
        checkAll(200, PropTestConfig(seed = 7), Arb.long(), Arb.double(0.0, 0.9)) { seed, loss ->
            val store = FakeObjectStore(Random(seed))
            store.responseLossProbability = loss
            store.maxStaleWrites = 2
            val outcomes = listOf("a", "b").associateWith { ChangeLog(store).append(change(1, it)) }
            val winner = store.stored("changes", "0000000001")!!.value.toString()
            for ((id, outcome) in outcomes) {
                val won = "\"changeId\":\"$id\"" in winner
                when (outcome) {
                    AppendOutcome.Accepted -> assertEquals(true, won)
                    is AppendOutcome.Conflict -> assertEquals(false, won)
                    AppendOutcome.Unavailable -> assertEquals(false, won)
                    AppendOutcome.Unknown -> Unit
                }
            }
        }
    }

    @Test
    fun `an append is reported as unavailable only if it had no effect`() = runTest {
        val store = FakeObjectStore()
        store.down = true
        assertIs<AppendOutcome.Unavailable>(ChangeLog(store).append(change(1)))
        store.down = false
        store.responseLossProbability = 1.0
        store.latency = 1.seconds
        launch {
            delay(1.5.seconds)
            store.down = true
        }
        assertIs<AppendOutcome.Unknown>(ChangeLog(store).append(change(1)))
    }

    // Guards against duplicate, reordered or missing revisions after stale reads, expired watch
    // positions and outages.
    @Test
    fun `a follower sees every change once and in order`() = runTest {
        checkAll(100, PropTestConfig(seed = 8), Arb.long(), Arb.int(0..20)) { seed, staleWrites ->
            val store = FakeObjectStore(Random(seed))
            val random = Random(seed)
            store.maxStaleWrites = staleWrites
            val writer = launch {
                val log = ChangeLog(store)
                for (revision in 1L..CHANGES) {
                    while (log.append(change(revision)) != AppendOutcome.Accepted) delay(1.seconds)
                    store.down = random.nextInt(5) == 0
                    delay(random.nextLong(2000))
                    store.down = false
                    if (random.nextInt(5) == 0) store.expireNextWatch = true
                }
            }
            val seen = ChangeLog(store).follow(0).take(CHANGES.toInt()).toList()
            assertEquals((1L..CHANGES).toList(), seen.map { it.revision })
            writer.join()
        }
    }

    private companion object {
        const val CHANGES = 30L
    }
}
