package org.bramleytrestle.serving

import com.github.michaelbull.result.getOrElse
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.test.runTest
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
}
