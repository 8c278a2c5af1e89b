package org.bramleytrestle.standins.platform

import com.github.michaelbull.result.get
import java.io.IOException
import java.util.concurrent.CompletableFuture
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlinx.serialization.json.Json
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody

class PlatformServerTest {
    private val server = PlatformServer()
    private val base = "http://127.0.0.1:${server.start("127.0.0.1", 0)}"
    private val changes = "/apis/bramleytrestle.org/v1/changes"
    private val client = OkHttpClient.Builder().retryOnConnectionFailure(false).build()

    @AfterTest
    fun stop() = server.stop()

    private fun call(method: String, path: String, body: String? = null): Pair<Int, String> {
        val request = Request.Builder().url(base + path).method(method, body?.toRequestBody())
        return client.newCall(request.build()).execute().use { it.code to it.body.string() }
    }

    private fun item(version: Int, value: Int, name: String = "a") =
        """{"metadata":{"name":"$name","resourceVersion":"$version"},"spec":$value}"""

    // Guards against a stand-in that accepts writes which a real platform would refuse.
    @Test
    fun `writes are conditional and lists return the version from which to watch`() {
        val conflict = """{"kind":"Status","code":409,"reason":"Conflict"}"""
        val exists = """{"kind":"Status","code":409,"reason":"AlreadyExists"}"""
        val cases = listOf(
            Triple("POST", changes, item(0, 1)) to (201 to item(1, 1)),
            Triple("POST", changes, item(0, 2)) to (409 to exists),
            Triple("PUT", "$changes/a", item(1, 3)) to (200 to item(2, 3)),
            Triple("PUT", "$changes/a", item(1, 4)) to (409 to conflict),
            Triple("POST", changes, item(0, 5, "b")) to (201 to item(3, 5, "b")),
            Triple("GET", "$changes?fromName=aa&limit=1", null) to
                (200 to """{"metadata":{"resourceVersion":"3"},"items":[${item(3, 5, "b")}]}"""),
            Triple("DELETE", "$changes/a?resourceVersion=1", null) to (409 to conflict),
            Triple("DELETE", "$changes/a?resourceVersion=2", null) to
                (200 to """{"status":"Success"}"""),
            Triple("GET", "$changes/a", null) to
                (404 to """{"kind":"Status","code":404,"reason":"NotFound"}""")
        )
        for ((request, expected) in cases) {
            assertEquals(expected, call(request.first, request.second, request.third), "$request")
        }
    }

    @Test
    fun `an open watch streams changes and counts as one call`() {
        val watch = CompletableFuture.supplyAsync {
            call("GET", "$changes?watch=true&resourceVersion=0&timeoutSeconds=1")
        }
        Thread.sleep(200)
        call("POST", changes, item(0, 1))
        call("PUT", "$changes/a", item(1, 2))
        val lines = watch.get().second.trim().lines()
        assertEquals(
            listOf("ADDED", "MODIFIED"),
            lines.map { it.substring(9).substringBefore('"') }
        )
        val counts = Json.decodeFromString<PlatformCounts>(call("GET", "/standin/counts").second)
        assertEquals(mapOf("create" to 1L, "update" to 1L, "watch" to 1L), counts.byOperation)
        assertEquals(0, counts.openWatches)
    }

    @Test
    fun `faults drop the response to a write, refuse calls and delay the instance list`() {
        call("PUT", "/standin/faults", """{"loseWriteAnswers":1.0}""")
        assertFailsWith<IOException> { call("POST", changes, item(0, 1)) }
        assertEquals(200 to item(1, 1), call("GET", "$changes/a"))
        call("PUT", "/standin/faults", """{"down":true}""")
        assertEquals(503, call("GET", "$changes/a").first)
        call("PUT", "/standin/faults", """{"listLagMillis":400}""")
        val instance = """{"id":"e1","role":"engine","address":"x","dataCentre":"a"}"""
        assertEquals(400, call("PUT", "/standin/instances/e2", instance).first)
        call("PUT", "/standin/instances/e1", instance)
        val list = "/apis/bramleytrestle.org/v1/instances"
        assertTrue("e1" !in call("GET", list).second)
        Thread.sleep(500)
        assertTrue("e1" in call("GET", list).second)
    }

    @Test
    fun `a watch from a version older than the history is refused as expired`() {
        val store = InMemoryObjectStore(historyLimit = 2)
        repeat(4) { store.create("changes", "$it", Json.parseToJsonElement("1")) }
        assertTrue(store.watch("changes", 1, 0).isErr)
        assertEquals(listOf(3L, 4L), store.watch("changes", 2, 0).get()?.map { it.version })
    }
}
