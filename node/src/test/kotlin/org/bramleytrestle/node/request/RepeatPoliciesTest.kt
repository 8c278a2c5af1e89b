package org.bramleytrestle.node.request

import kotlin.test.Test
import kotlin.test.assertEquals
import org.bramleytrestle.model.RepeatPolicy

class RepeatPoliciesTest {
    private val operations = mapOf(
        "POST /bookings" to RepeatPolicy.DEDUPLICATED,
        "POST /bookings/urgent" to RepeatPolicy.NEVER,
        "PUT /notes" to RepeatPolicy.REPEATABLE,
        "GET /ticket" to RepeatPolicy.NEVER
    )

    @Test
    fun `an operation without a setting is never repeated unless it is a read`() {
        val cases = listOf(
            Triple("POST", "/bookings", RepeatPolicy.DEDUPLICATED),
            Triple("POST", "/bookings?day=1", RepeatPolicy.DEDUPLICATED),
            Triple("POST", "/bookings/7", RepeatPolicy.DEDUPLICATED),
            Triple("POST", "/bookings/urgent/7", RepeatPolicy.NEVER),
            Triple("POST", "/bookingsx", RepeatPolicy.NEVER),
            Triple("POST", "/charges", RepeatPolicy.NEVER),
            Triple("PUT", "/notes/3", RepeatPolicy.REPEATABLE),
            Triple("GET", "/ticket", RepeatPolicy.NEVER),
            Triple("GET", "/status", RepeatPolicy.REPEATABLE),
            Triple("DELETE", "/status", RepeatPolicy.NEVER)
        )
        for ((method, path, expected) in cases) {
            assertEquals(expected, repeatPolicy(operations, method, path), "$method $path")
        }
    }
}
