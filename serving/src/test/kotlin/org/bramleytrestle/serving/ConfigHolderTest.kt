package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.bramleytrestle.store.StoreVersion

class ConfigHolderTest {
    private val clock = FakeClock()
    private val holder = ConfigHolder(clock::now)

    private data class Stored(val version: Long, val era: Long, val revision: Long)

    private data class Held(val version: Long?, val confirmed: Boolean)

    private fun config(revision: Long) =
        RoutingConfig(revision * 2, revision, emptyList(), emptyList(), emptyList())

    @Test
    fun `an older revision never replaces a newer one`() {
        assertTrue(holder.offer(config(5)))
        for (older in listOf(4L, 5L)) assertFalse(holder.offer(config(older)))
        assertEquals(5, holder.config?.revision)
    }

    @Test
    fun `a new configuration does not change the confirmation age`() {
        holder.offer(config(1))
        assertEquals(null, holder.confirmationAge())
        holder.confirm(clock.now())
        clock.advance(2.seconds)
        holder.offer(config(2))
        assertEquals(2.seconds, holder.confirmationAge())
    }

    @Test
    fun `a suspension that only the wall clock measures raises the confirmation age`() {
        holder.offer(config(1))
        holder.confirm(clock.now())
        clock.moment = clock.moment.copy(wallMillis = clock.moment.wallMillis + 7_000)
        assertEquals(7.seconds, holder.confirmationAge())
    }

    @Test
    fun `a wall clock that jumps back does not lower the confirmation age`() {
        holder.offer(config(1))
        holder.confirm(clock.now())
        clock.advance(6.seconds)
        clock.moment = clock.moment.copy(wallMillis = clock.moment.wallMillis - 60_000)
        assertEquals(6.seconds, holder.confirmationAge())
    }

    /** The store returned without version 9 and its key's removal, which operators write again. */
    @Test
    fun `a store that came back from an older copy brings back no older configuration`() {
        val cases = listOf(
            Stored(version = 9, era = 1, revision = 90) to Held(version = 9, confirmed = true),
            Stored(version = 4, era = 2, revision = 60) to Held(version = 9, confirmed = false),
            Stored(version = 7, era = 2, revision = 91) to Held(version = 9, confirmed = false),
            Stored(version = 9, era = 2, revision = 92) to Held(version = 9, confirmed = true),
            Stored(version = 11, era = 2, revision = 93) to Held(version = 11, confirmed = true),
            Stored(version = 4, era = 3, revision = 60) to Held(version = 11, confirmed = false),
            Stored(version = 12, era = 3, revision = 61) to Held(version = 12, confirmed = true)
        )
        for ((stored, held) in cases) {
            clock.advance(1.seconds)
            val revision = StoreVersion.of(stored.era, stored.revision)
            holder.offer(
                RoutingConfig(stored.version, revision, emptyList(), emptyList(), emptyList())
            )
            holder.confirm(clock.now())
            val confirmed = holder.confirmationAge() == Duration.ZERO
            assertEquals(held, Held(holder.config?.version, confirmed), "$stored")
        }
        holder.offerNone()
        clock.advance(1.seconds)
        holder.confirm(clock.now())
        assertEquals(12L to 1.seconds, holder.config?.version to holder.confirmationAge())
    }
}
