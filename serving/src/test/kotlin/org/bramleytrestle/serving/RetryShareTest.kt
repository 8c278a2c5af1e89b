package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals

class RetryShareTest {
    private data class Case(
        val name: String,
        val live: List<EntryNode>,
        val registered: List<NodeRegistration>,
        val expected: Double
    )

    private val dataCentres = listOf("a", "a", "b", "b", "c", "c")
    private val live = dataCentres.mapIndexed { i, centre -> EntryNode("n$i", "n$i:80", centre) }
    private val registered = live.map { NodeRegistration(it.id, it.dataCentre, capacity = 1) }

    /** Guards against a node without knowledge of the others that takes their part of a budget. */
    @Test
    fun `a node that does not know the others takes no share of theirs`() {
        val cases = listOf(
            Case("all are known", live, registered, 1.0 / 6),
            Case("no list of the registered nodes and no peer", live.take(1), emptyList(), 0.0),
            Case("no list, peers are known", live, emptyList(), 0.0),
            Case("cut off from its peers", live.take(1), registered, 1.0 / 6),
            Case("peers joined after the list was read", live, registered.take(2), 1.0 / 6),
            Case("its data centre has fewer nodes", live.drop(1), registered, 1.0 / 6),
            Case(
                "a list that lacks some of few live nodes",
                live.take(2),
                registered.drop(1),
                1.0 / 6
            )
        )
        for (case in cases) {
            assertEquals(case.expected, expectedShare("a", case.live, case.registered), case.name)
        }
    }
}
