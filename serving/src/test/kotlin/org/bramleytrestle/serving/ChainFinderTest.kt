package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.bramleytrestle.model.LayerRange

class ChainFinderTest {
    private val finder = ChainFinder(model)

    private fun loaded(vararg centres: String): List<BackendServer> {
        val servers = centres.flatMap(::centre)
        val plan = LayerPlanner(model).plan(servers.map(::placed)).layers
        return servers.map { it.copy(held = plan[it.id]) }
    }

    @Test
    fun `every chain runs each layer once and in order and names no server twice`() {
        val servers = loaded("a", "b", "c")
        for (lost in servers) {
            for (chain in finder.find(servers - lost)) {
                assertTrue(chain.covers(model.layers), chain.label)
                val ids = chain.stages.map { it.server.id }
                assertEquals(ids.distinct(), ids)
                for ((server, layers) in chain.stages) {
                    val held = server.held!!
                    assertTrue(layers.from >= held.from && layers.until <= held.until)
                }
            }
        }
    }

    @Test
    fun `each data centre has a chain that stays inside, as crossings fill the links`() {
        val chains = finder.find(loaded("a", "b", "c"))
        for (name in listOf("a", "b", "c")) {
            assertTrue(chains.any { chain -> chain.stages.all { it.server.dataCentre == name } })
        }
    }

    @Test
    fun `a chain crosses where a data centre lost a stage and only then`() {
        val servers = loaded("a", "b")
        val lost = servers.filter { it.dataCentre == "a" && it.held != null }.take(1)
        val chains = finder.find(servers - lost.toSet())
        assertTrue(chains.any { it.stages.any { stage -> stage.server.dataCentre == "a" } })
    }

    @Test
    fun `no chain is found while a layer is missing`() {
        val servers = listOf(
            modelServer("x", "a", "large", LayerRange(0, 30)),
            modelServer("y", "a", "large", LayerRange(31, 80))
        )
        assertEquals(emptyList(), finder.find(servers))
    }
}
