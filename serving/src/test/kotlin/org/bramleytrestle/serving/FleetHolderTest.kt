package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class FleetHolderTest {
    private val clock = FakeClock()
    private var fleet = Fleet.EMPTY
    private val holder = FleetHolder({ fleet = it }, clock::now)

    private fun knownIds() = fleet.byId.keys

    init {
        holder.replace(mapOf("x" to (plainServer("x") to 1L), "y" to (plainServer("y") to 2L)))
    }

    @Test
    fun `a removed entry disappears immediately while the store is available`() {
        holder.remove("x", 3)
        assertEquals(setOf("y"), knownIds())
    }

    @Test
    fun `entries that expired during a store outage stay until the grace period ends`() {
        holder.storeRecovered()
        holder.replace(emptyMap())
        assertEquals(setOf("x", "y"), knownIds())
        holder.put("x", plainServer("x"), 9)
        clock.advance(2.seconds)
        holder.removeExpired()
        assertEquals(setOf("x"), knownIds())
    }

    @Test
    fun `an older change does not overwrite a newer one`() {
        holder.put("x", plainServer("x").copy(leaving = true), 5)
        holder.put("x", plainServer("x"), 4)
        assertEquals(true, fleet.byId.getValue("x").leaving)
    }

    @Test
    fun `an unreadable entry hides only its own server`() {
        holder.put("x", null, 5)
        assertEquals(setOf("y"), knownIds())
    }
}
