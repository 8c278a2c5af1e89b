package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.bramleytrestle.model.LayerRange

class LayerPlannerTest {
    private val planner = LayerPlanner(model)

    private fun covered(plan: Map<String, LayerRange>, servers: List<PlacedServer>): Set<Int> =
        servers.mapNotNull { plan[it.id] }.flatMap { it.from until it.until }.toSet()

    private val all = (0 until model.layers).toSet()

    @Test
    fun `each data centre that can hold the whole model does, as links between them are slow`() {
        val servers = (centre("a") + centre("b")).map(::placed)
        val plan = planner.plan(servers).layers
        for (name in listOf("a", "b")) {
            assertEquals(all, covered(plan, servers.filter { it.dataCentre == name }), name)
        }
    }

    @Test
    fun `no server holds more than its memory, which would crash it`() {
        val servers = (centre("a") + centre("b").drop(3) + centre("c").take(4)).map(::placed)
        for ((id, layers) in planner.plan(servers).layers) {
            val memory = servers.single { it.id == id }.megabytes
            assertTrue(layers.size * model.layerMegabytes < memory, "$id holds $layers")
        }
    }

    @Test
    fun `data centres that cannot hold the model alone form one group`() {
        val servers = (centre("a").take(5) + centre("b").takeLast(8)).map(::placed)
        assertEquals(all, covered(planner.plan(servers).layers, servers))
    }

    @Test
    fun `too little memory for the model gives an empty plan instead of a partial one`() {
        assertEquals(emptyMap(), planner.plan(centre("a").take(3).map(::placed)).layers)
    }

    private fun withPlannedLayers(servers: List<PlacedServer>): List<PlacedServer> {
        val plan = planner.plan(servers).layers
        return servers.map { it.copy(held = plan[it.id]) }
    }

    @Test
    fun `a complete placement is kept, because loads take seconds and are billed`() {
        val servers = withPlannedLayers(centre("a").map(::placed))
        val plan = planner.plan(servers).layers
        for (server in servers) assertEquals(server.held, plan[server.id], server.id)
    }

    @Test
    fun `the layers of any lost server are restored without moving layers between the others`() {
        val servers = withPlannedLayers(centre("a").map(::placed))
        for (lost in servers.filter { it.held != null }) {
            val rest = servers - lost
            val plan = planner.plan(rest).layers
            assertEquals(all, covered(plan, rest), "after the loss of ${lost.id}")
            for (server in rest) {
                val held = server.held ?: continue
                val now = plan.getValue(server.id)
                assertTrue(
                    now.from <= held.from && now.until >= held.until || lost.megabytes > 30_000,
                    "${server.id} dropped layers after the loss of ${lost.id}"
                )
            }
        }
    }

    @Test
    fun `a server that restarts empty is assigned the missing layers`() {
        val servers = withPlannedLayers(centre("a").map(::placed))
        val restarted = servers.first { it.held != null }
        val plan = planner.plan(
            servers.map { if (it == restarted) it.copy(held = null) else it }
        ).layers
        assertEquals(all, covered(plan, servers))
    }
}
