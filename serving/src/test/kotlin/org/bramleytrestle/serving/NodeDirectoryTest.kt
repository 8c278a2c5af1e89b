package org.bramleytrestle.serving

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive

class NodeDirectoryTest {
    private val store = MemoryStore()
    private val directory = NodeDirectory(store)

    @Test
    fun `nodes of an earlier version, which register an address alone, are found as peers`() =
        runTest {
            store.put("entry-nodes", "old", JsonPrimitive("10.0.0.1:7000"))
            directory.register("new", "10.0.0.2:7000", "a", capacity = 150)
            val peers = directory.peers().getOrElse { error("$it") }
            assertEquals(listOf("10.0.0.1:7000", "10.0.0.2:7000"), peers)
            assertEquals(listOf(NodeRegistration("new", "a", 150)), directory.registered)
        }

    @Test
    fun `a node that comes back at another address replaces its entry`() = runTest {
        directory.register("n", "10.0.0.2:7000", "a")
        directory.register("n", "10.0.0.9:7000", "a")
        assertEquals(listOf("10.0.0.9:7000"), directory.peers().getOrElse { error("$it") })
    }

    @Test
    fun `an entry of another writer hides only itself`() = runTest {
        store.put("entry-nodes", "odd", JsonPrimitive(17))
        store.put("entry-nodes", "list", kotlinx.serialization.json.JsonArray(emptyList()))
        directory.register("n", "10.0.0.2:7000", "a")
        val peers = directory.peers().getOrElse { error("$it") }
        assertEquals(true, "10.0.0.2:7000" in peers)
    }

    /** Guards against a node that never joins its peers because the secret was unreadable once. */
    @Test
    fun `a node waits for a secret that can be read`() = runTest {
        val odd = listOf("7", "\"00\"", "\"zz\"", "null", "{}", "[]")
        for (value in odd) {
            val store = MemoryStore()
            store.put("peer-secrets", "current", Json.parseToJsonElement(value))
            val secret = async { NodeDirectory(store).secret() }
            delay(1.seconds)
            assertEquals(true, secret.isActive, value)
            store.objects.clear()
            assertEquals(32, secret.await().size, value)
        }
    }

    /** Nodes that start after the restore must find the running ones and use their secret. */
    @Test
    fun `a running node writes again what a restored store has lost`() = runTest {
        for (secretOfAnother in listOf(null, JsonPrimitive("00"))) {
            val store = MemoryStore()
            val directory = NodeDirectory(store)
            val secret = directory.secret()
            directory.register("a", "10.0.0.1:1", "dc", capacity = 5)
            directory.peers()
            store.objects.clear()
            secretOfAnother?.let { store.put("peer-secrets", "current", it) }
            assertEquals(listOf("a"), directory.registered.map { it.id })
            directory.writeAgain()
            val starting = NodeDirectory(store)
            assertContentEquals(secret, starting.secret())
            assertTrue("10.0.0.1:1" in starting.peers().get()!!)
        }
    }

    /** Each node takes its part of the retry budget from the number of registered nodes. */
    @Test
    fun `registrations that a restored store has lost still count`() = runTest {
        val store = MemoryStore()
        val directory = NodeDirectory(store)
        for (id in listOf("a", "b")) directory.register(id, "10.0.0.1:1", "dc")
        directory.peers()
        store.objects -= "b"
        directory.peers()
        assertEquals(listOf("a", "b"), directory.registered.map { it.id })
    }
}
