package org.bramleytrestle.store

/**
 * Calls of one node since its start, by operation and kind such as `get changes`.
 *
 * @property sent calls that were sent to the platform.
 * @property failed sent calls that were unavailable or whose answer was lost.
 * @property refused calls that the budget refused without sending them.
 */
public data class PlatformCallCounts(
    val sent: Map<String, Long>,
    val failed: Map<String, Long>,
    val refused: Map<String, Long>
)
