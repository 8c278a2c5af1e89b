package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class FleetHolderTest {
    private val clock = FakeClock()
    private var fleet = Fleet.EMPTY
    private val holder = FleetHolder({ fleet = it }, clock::now)

    private fun ready() = fleet.byId.keys

    init {
        holder.replace(mapOf("x" to (plainServer("x") to 1L), "y" to (plainServer("y") to 2L)))
    }

    @Test
    fun `a removed entry is gone at once while the store is sound`() {
        holder.remove("x", 3)
        assertEquals(setOf("y"), ready())
    }

    @Test
    fun `entries that lapsed while the store was away stay until they had time to return`() {
        holder.storeRecovered()
        holder.replace(emptyMap())
        assertEquals(setOf("x", "y"), ready())
        holder.put("x", plainServer("x"), 9)
        clock.advance(2.seconds)
        holder.removeExpired()
        assertEquals(setOf("x"), ready())
    }

    @Test
    fun `an older change does not bring back what a newer one replaced`() {
        holder.put("x", plainServer("x").copy(leaving = true), 5)
        holder.put("x", plainServer("x"), 4)
        assertEquals(true, fleet.byId.getValue("x").leaving)
    }

    @Test
    fun `an entry that cannot be read hides its server and no other`() {
        holder.put("x", null, 5)
        assertEquals(setOf("y"), ready())
    }
}
