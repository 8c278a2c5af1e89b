package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class ConfigHolderTest {
    private val clock = FakeClock()
    private val holder = ConfigHolder(clock::now)

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
}
