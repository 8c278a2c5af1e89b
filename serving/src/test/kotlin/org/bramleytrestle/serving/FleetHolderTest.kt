package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FleetHolderTest {
    private val clock = FakeClock()
    private var fleet = Fleet.EMPTY
    private val holder = FleetHolder({ fleet = it }, clock::now)

    private fun put(name: String, server: BackendServer?, revision: Long) =
        holder.apply(listOf(FleetChange(name, revision, server)))

    private fun remove(name: String, revision: Long) =
        holder.apply(listOf(FleetChange(name, revision, null, removed = true)))

    private fun knownIds() = fleet.byId.keys

    init {
        holder.replace(mapOf("x" to (plainServer("x") to 1L), "y" to (plainServer("y") to 2L)))
    }

    @Test
    fun `a removed entry disappears immediately while the store is available`() {
        remove("x", 3)
        assertEquals(setOf("y"), knownIds())
    }

    @Test
    fun `entries that expired during a store outage stay until the grace period ends`() {
        holder.storeRecovered()
        holder.replace(emptyMap())
        assertEquals(setOf("x", "y"), knownIds())
        put("x", plainServer("x"), 9)
        clock.advance(2.seconds)
        holder.removeExpired()
        assertEquals(setOf("x"), knownIds())
    }

    @Test
    fun `an older change does not overwrite a newer one`() {
        put("x", plainServer("x").copy(leaving = true), 5)
        put("x", plainServer("x"), 4)
        assertEquals(true, fleet.byId.getValue("x").leaving)
    }

    @Test
    fun `an unreadable entry hides only its own server`() {
        put("x", null, 5)
        assertEquals(setOf("y"), knownIds())
    }

    @Test
    fun `changes that arrive together are published once, as each fleet costs new chains`() {
        var published = 0
        val counting = FleetHolder({ published++ }, clock::now)
        counting.apply((1L..50L).map { FleetChange("s$it", it, plainServer("s$it")) })
        assertEquals(1, published)
    }

    @Test
    fun `the rest of another node's grace period applies here too`() {
        holder.storeRecovered(500.milliseconds)
        holder.replace(emptyMap())
        assertEquals(setOf("x", "y"), knownIds())
        clock.advance(600.milliseconds)
        holder.removeExpired()
        assertEquals(emptySet(), knownIds())
    }
}
