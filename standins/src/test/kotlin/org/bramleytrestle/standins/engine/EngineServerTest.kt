package org.bramleytrestle.standins.engine

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.standins.WireJson

internal class EngineServerTest {
    private val config = EngineConfig(
        id = "e1",
        layers = LayerRange(0, 2),
        modelLayers = 2,
        microsPerLayer = 100,
        reportLagMillis = 0,
        cacheEventDelayMillis = 0,
        cacheEventLossProbability = 0.0,
        maxRequests = 3
    )
    private val http = HttpClient.newHttpClient()
    private val engines = mutableListOf<EngineServer>()

    private fun engine(config: EngineConfig = this.config) =
        EngineServer(config).also { engines += it }

    @AfterTest
    fun stop() = engines.forEach { it.kill() }

    private fun EngineServer.send(
        method: String,
        path: String,
        body: String = ""
    ): Pair<Int, String> {
        val request = HttpRequest.newBuilder(URI(address + path))
            .method(method, HttpRequest.BodyPublishers.ofString(body)).build()
        val response = http.send(request, HttpResponse.BodyHandlers.ofString())
        return response.statusCode() to response.body()
    }

    private fun EngineServer.step(
        request: String,
        attempt: Int = 1,
        position: Int = 0,
        emitted: List<Int> = emptyList(),
        prompt: String? = "a b".takeIf { position == 0 }
    ): Pair<Int, String> {
        val step = StepRequest(
            request = request,
            attempt = attempt,
            model = "drafter",
            version = "1",
            firstPosition = position,
            layers = LayerRange(0, 2),
            prompt = prompt,
            emitted = emitted
        )
        return send("POST", "/v1/stage/step", WireJson.encodeToString(step))
    }

    @Test
    fun `steps that are repeated, out of order, superseded or cancelled are refused`() {
        val engine = engine()
        assertEquals(200, engine.step("r").first)
        val cases = listOf(
            "same positions again" to { engine.step("r") },
            "skipped position" to { engine.step("r", position = 4, emitted = listOf(5)) }
        )
        for ((name, step) in cases) assertEquals(409, step().first, name)
        assertEquals(200, engine.step("r", position = 3, emitted = listOf(5)).first)
        assertEquals(200, engine.step("r", attempt = 2).first)
        assertEquals(409, engine.step("r", position = 4, emitted = listOf(5)).first, "superseded")
        engine.send("DELETE", "/v1/requests/r?attempt=2")
        assertEquals(409, engine.step("r", attempt = 2).first, "cancelled")
        val counts = engine.counts
        assertEquals(
            listOf(3L, 4L, 0L),
            listOf(counts.steps, counts.refusedSteps, counts.violations)
        )
    }

    @Test
    fun `execution history counts steps out of order or of a superseded attempt`() {
        val range = LayerRange(0, 2)
        val cases = listOf<Pair<Long, (ExecutionHistory) -> Unit>>(
            0L to { it.record("r", 1, range, 3, 1) },
            2L to { it.record("r", 1, range, 2, 1) },
            2L to { it.record("r", 1, range, 4, 1) },
            1L to {
                it.attemptStarted("r", 2)
                it.record("r", 1, range, 3, 1)
            }
        )
        for ((expected, run) in cases) {
            val history = ExecutionHistory(2)
            history.record("r", 1, range, 0, 3)
            run(history)
            assertEquals(expected, history.violations)
        }
    }

    @Test
    fun `a leaving or full engine refuses new requests and a leaving one keeps its own`() {
        val engine = engine()
        engine.step("r")
        engine.send("PUT", "/standin/leaving")
        assertEquals(503, engine.step("other").first)
        assertContains(engine.send("POST", "/v1/stream", stream("s")).second, "leaving")
        assertEquals(200, engine.step("r", position = 3, emitted = listOf(5)).first)
        engine.send("PUT", "/standin/leaving", """{"leaving":false}""")
        assertEquals(listOf(200, 200, 429), listOf("x", "y", "z").map { engine.step(it).first })
    }

    private fun stream(request: String) = """{"request":"$request","attempt":1,"model":"drafter",
        "version":"1","route":[],"prompt":"a","maxTokens":1}"""

    @Test
    fun `an order with a stale fencing number is refused unless the check is off`() {
        fun order(id: String, number: Int) = """{"orderId":"$id","fencingNumber":$number,
            "action":"switchVersion","model":"drafter","version":"$number"}"""
        val checking = engine()
        val unchecked = engine(config.copy(checksFencing = false))
        for ((engine, status, version) in listOf(
            Triple(checking, 409, "7"),
            Triple(unchecked, 200, "6")
        )) {
            assertEquals(200, engine.send("POST", "/v1/orders", order("a", 7)).first)
            assertEquals(status, engine.send("POST", "/v1/orders", order("b", 6)).first)
            assertContains(engine.send("GET", "/v1/report").second, """"version":"$version"""")
        }
        assertEquals(0, checking.counts.staleOrders)
        assertEquals(1, unchecked.counts.staleOrders)
        checking.faults(EngineFaults(ignoreFencing = true))
        assertEquals(200, checking.send("POST", "/v1/orders", order("c", 6)).first)
        assertEquals(1, checking.counts.staleOrders)
    }

    @Test
    fun `an exported KV cache continues with the same answer on another engine`() {
        val source = engine()
        val target = engine(config.copy(id = "e2"))
        source.step("r")
        val exported = source.send("GET", "/v1/kv/r?attempt=1").second
        assertEquals(204, target.send("PUT", "/v1/kv/r?attempt=2", exported).first)
        val onSource = source.step("r", position = 3, emitted = listOf(9)).second
        val onTarget = target.step("r", attempt = 2, position = 3, emitted = listOf(9)).second
        assertEquals(onSource, onTarget.replace("\"attempt\":2", "\"attempt\":1"))
        assertEquals(0, target.counts.violations)
    }

    @Test
    fun `cache events report each stored block and evictions beyond the capacity`() {
        val engine = engine(config.copy(cacheBlocks = 2))
        val words = List(32) { "w$it" }.joinToString(" ")
        engine.step("r", prompt = words)
        engine.step("s", prompt = "other $words")
        val events = engine.send("GET", "/v1/cache-events?after=0").second
        val parsed = WireJson.decodeFromString<CacheEventsMessage>(events).events
        assertEquals(listOf(true, true, true, true, false, false), parsed.map { it.stored })
        assertEquals(parsed.take(2).map { it.prefixHash }, parsed.drop(4).map { it.prefixHash })
    }

    @Test
    fun `queued steps run in order of their current priority`() = runBlocking {
        val scheduler = StepScheduler(1)
        val order = mutableListOf<Int>()
        val raisedPriority = AtomicInteger(9)
        launch { scheduler.run(50_000, AtomicInteger(0)) }
        for (priority in listOf(AtomicInteger(5), raisedPriority, AtomicInteger(1))) {
            launch {
                scheduler.run(1_000, priority)
                order += priority.get()
            }
        }
        launch {
            assertEquals(3, scheduler.waiting)
            raisedPriority.set(0)
        }.join()
        while (order.size < 3) kotlinx.coroutines.delay(1)
        assertEquals(listOf(0, 1, 5), order)
    }

    @Test
    fun `answers vary in length`() {
        val lengths = (0..<50).map {
            ReferenceModel.answer("prompt $it", "drafter", "1", 4, 64).size
        }
        assertTrue(lengths.distinct().size > 10)
        assertTrue(lengths.count { it == 64 } in 10..45)
    }
}
