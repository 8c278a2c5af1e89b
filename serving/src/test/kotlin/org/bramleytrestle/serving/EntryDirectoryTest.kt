package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals

class EntryDirectoryTest {
    private fun node(id: String, centre: String) = EntryNode(id, "$id:1", centre)

    private data class Case(
        val name: String,
        val others: List<EntryNode>,
        val ready: Boolean,
        val centre: String?,
        val expected: List<String>
    )

    @Test
    fun `callers get local nodes, all nodes if those are too few, and only ready ones`() {
        val others = listOf(node("b", "one"), node("c", "two"), node("d", "two"))
        val cases = listOf(
            Case("local", others, true, "one", listOf("a:1", "b:1")),
            Case("local to the caller, not to the node", others, true, "two", listOf("c:1", "d:1")),
            Case("one local node is too few", others, false, "one", listOf("b:1", "c:1", "d:1")),
            Case("unknown data centre", others, true, null, listOf("a:1", "b:1", "c:1", "d:1")),
            Case("single node", emptyList(), true, "one", listOf("a:1")),
            Case("no node is ready", emptyList(), false, "one", emptyList())
        )
        for ((name, known, ready, centre, expected) in cases) {
            val directory = EntryDirectory(node("a", "one"), { known }, { ready })
            assertEquals(expected, directory.addresses(centre), name)
        }
    }
}
