package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.bramleytrestle.model.LayerRange

class ChainFinderTest {
    private val finder = ChainFinder(model)

    private fun placedServers(vararg centres: String): List<BackendServer> {
        val servers = centres.flatMap(::centre)
        val plan = LayerPlanner(model).plan(servers.map(::placed)).layers
        return servers.map { it.copy(held = plan[it.id]) }
    }

    @Test
    fun `every chain runs each layer once and in order and uses no server twice`() {
        val servers = placedServers("a", "b", "c")
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
    fun `each data centre has a local chain, because hops between data centres fill the links`() {
        val chains = finder.find(placedServers("a", "b", "c"))
        for (name in listOf("a", "b", "c")) {
            assertTrue(chains.any { chain -> chain.stages.all { it.server.dataCentre == name } })
        }
    }

    @Test
    fun `a data centre that lost a stage still takes part in a chain`() {
        val servers = placedServers("a", "b")
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

    /** Guards against one odd entry that makes every request of the service fail. */
    @Test
    fun `a server that claims layers which it cannot hold is left out`() {
        val servers = placedServers("a")
        val impossible = listOf(
            LayerRange(0, model.layers + 1),
            LayerRange(79, Int.MAX_VALUE),
            // More than the card's memory holds.
            LayerRange(0, model.layers)
        )
        for (held in impossible) {
            val odd = modelServer("odd", "a", "large", held)
            val chains = finder.find(servers + odd)
            assertEquals(finder.find(servers).map { it.label }, chains.map { it.label })
        }
    }
}
