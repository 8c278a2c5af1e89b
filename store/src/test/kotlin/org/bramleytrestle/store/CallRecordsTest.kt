package org.bramleytrestle.store

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.double
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.model.ServiceName

class CallRecordsTest {
    private val key = CallKey(OrganisationId("lab-a"), ServiceName("booking"), "k1")
    private val done = JsonPrimitive("done")

    // Guards against a call that runs twice, and against a retry that gets a different outcome.
    @Test
    fun `a call runs at most once despite lost responses and stale reads`() = runTest {
        checkAll(200, PropTestConfig(seed = 21), Arb.long(), Arb.double(0.0, 0.6)) { seed, loss ->
            val random = Random(seed)
            val store = FakeObjectStore(random)
            store.responseLossProbability = loss
            store.maxStaleWrites = 3
            var runs = 0
            val attempts = List(6) { number ->
                val records = CallRecords(store)
                val retries = launch { records.run() }
                retries to launch {
                    delay(random.nextLong(3000))
                    store.latency = random.nextLong(900).milliseconds
                    when (val begin = records.begin(key, "attempt-$number")) {
                        is BeginOutcome.Granted -> {
                            delay(random.nextLong(1000))
                            if (random.nextInt(3) == 0) {
                                records.markNotRun(begin.claim)
                            } else {
                                runs++
                                records.complete(begin.claim, done)
                            }
                        }

                        is BeginOutcome.Completed -> assertTrue(begin.outcome == done && runs == 1)

                        else -> Unit
                    }
                }
            }
            attempts.forEach { it.second.join() }
            store.responseLossProbability = 0.0
            delay(10.seconds)
            attempts.forEach { it.first.cancel() }
            assertTrue(runs <= 1)
            if (runs == 1) {
                store.maxStaleWrites = 0
                assertIs<BeginOutcome.Completed>(CallRecords(store).begin(key, "late"))
            }
        }
    }

    @Test
    fun `a lost response to the create is resolved by the attempt id`() = runTest {
        val store = FakeObjectStore()
        store.responseLossProbability = 1.0
        assertIs<BeginOutcome.Granted>(CallRecords(store).begin(key, "a"))
        assertEquals(BeginOutcome.InProgressOrUnknown, CallRecords(store).begin(key, "b"))
    }

    @Test
    fun `a call is rejected during an outage of the platform and runs afterwards`() = runTest {
        val store = FakeObjectStore()
        store.down = true
        assertEquals(BeginOutcome.Unavailable, CallRecords(store).begin(key, "a"))
        store.down = false
        assertIs<BeginOutcome.Granted>(CallRecords(store).begin(key, "b"))
    }

    // Guards against a key that stays blocked although its call was rejected as not run. This can
    // happen when the create takes effect after the time limit.
    @Test
    fun `a rejected call whose record was created late can be retried`() = runTest {
        val store = FakeObjectStore()
        val records = CallRecords(store)
        val retries = launch { records.run() }
        store.latency = 3.seconds
        assertEquals(BeginOutcome.Unavailable, records.begin(key, "a"))
        store.latency = 0.seconds
        store.put("calls", key.recordName, startedBy("a"))
        delay(10.seconds)
        assertIs<BeginOutcome.Granted>(records.begin(key, "b"))
        retries.cancel()
    }

    @Test
    fun `an outcome that cannot be stored immediately is stored after the outage`() = runTest {
        val store = FakeObjectStore()
        val records = CallRecords(store)
        val retries = launch { records.run() }
        val call = (records.begin(key, "a") as BeginOutcome.Granted).claim
        store.down = true
        records.complete(call, done)
        delay(30.seconds)
        store.down = false
        delay(2.seconds)
        assertEquals(BeginOutcome.Completed(done), records.begin(key, "b"))
        retries.cancel()
    }

    @Test
    fun `deleteExpired deletes only expired records at a bounded rate`() = runTest {
        val store = FakeObjectStore()
        var now = 0L
        val records = CallRecords(store, nowMillis = { now })
        repeat(40) {
            val begin = records.begin(
                key.copy(idempotencyKey = "k$it"),
                "a"
            ) as BeginOutcome.Granted
            if (it >= 10) records.complete(begin.claim, done)
            now += 1.days.inWholeMilliseconds / 20
        }
        val before = testScheduler.currentTime
        records.deleteExpired(perSecond = 5)
        assertEquals(30, store.names("calls").size, "10 open and 20 unexpired records remain")
        assertTrue(testScheduler.currentTime - before >= 2000)
    }

    private fun startedBy(attempt: String) = Json.parseToJsonElement(
        """{"attemptId":"$attempt","state":"started","changedMillis":0}"""
    )
}
