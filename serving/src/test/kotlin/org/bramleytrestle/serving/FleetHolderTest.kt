package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bramleytrestle.store.StoreVersion

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
        holder.replace(
            mapOf("x" to (plainServer("x") to 1L), "y" to (plainServer("y") to 2L)),
            version = 2
        )
    }

    @Test
    fun `a removed entry disappears immediately while the store is available`() {
        remove("x", 3)
        assertEquals(setOf("y"), knownIds())
    }

    @Test
    fun `entries that expired during a store outage stay until the grace period ends`() {
        holder.storeRecovered()
        holder.replace(emptyMap(), version = 3)
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
        holder.replace(emptyMap(), version = 3)
        assertEquals(setOf("x", "y"), knownIds())
        clock.advance(600.milliseconds)
        holder.removeExpired()
        assertEquals(emptySet(), knownIds())
    }

    private data class Restored(
        val name: String,
        val before: List<FleetChange>,
        val listed: BackendServer?,
        val expected: BackendServer?,
        val later: BackendServer? = expected
    )

    /** Guards against requests to servers that left within the time that the store has lost. */
    @Test
    fun `servers that have left do not come back with an older copy of the store`() {
        val old = plainServer("x").copy(bornMillis = 5)
        val leaving = old.copy(leaving = true)
        val restarted = old.copy(bornMillis = 8)
        val removal = FleetChange("x", 30, null, removed = true)
        val cases = listOf(
            Restored("announced", listOf(FleetChange("x", 30, leaving)), old, leaving),
            Restored("removed", listOf(removal), old, null, later = old),
            Restored("removed for good", listOf(removal), null, null),
            Restored("started anew", listOf(FleetChange("x", 30, restarted)), old, restarted),
            Restored("only listed in the copy", emptyList(), old, old),
            Restored("registered since", listOf(FleetChange("x", 30, old)), null, old, null)
        )
        for (case in cases) {
            var known = Fleet.EMPTY
            val holder = FleetHolder({ known = it }, clock::now)
            val y = plainServer("y")
            holder.replace(mapOf("y" to (y to 1L)), StoreVersion.of(1, 2))
            holder.apply(listOf(FleetChange("x", StoreVersion.of(1, 10), old)))
            holder.apply(case.before.map { it.copy(revision = StoreVersion.of(1, it.revision)) })
            val listed = listOfNotNull(case.listed).associate {
                it.id to (it to StoreVersion.of(2, 10))
            }
            val list = listed + ("y" to (y to StoreVersion.of(2, 1)))
            holder.replace(list, StoreVersion.of(2, 12))
            assertEquals(case.expected, known.byId["x"], case.name)
            assertEquals(true, holder.isUncertain)
            repeat(3) {
                clock.advance(2.seconds)
                holder.removeExpired()
            }
            assertEquals(case.later, known.byId["x"], "${case.name}, later")
            assertEquals(false, holder.isUncertain)
        }
    }

    @Test
    fun `a server that is gone counts again once it has written its entry`() {
        remove("x", 3)
        val listed = mapOf("x" to (plainServer("x") to StoreVersion.of(1, 1)))
        holder.replace(listed, StoreVersion.of(1, 2))
        assertEquals(null, fleet.byId["x"])
        put("x", plainServer("x"), StoreVersion.of(1, 9))
        assertEquals(setOf("x"), knownIds() - "y")
    }
}
