package org.bramleytrestle.model

import kotlin.test.Test
import kotlin.test.assertEquals

class SideTest {
    @Test
    fun `there are exactly two sides`() {
        assertEquals(listOf(Side.OLD, Side.NEW), Side.entries)
    }
}
