package org.bramleytrestle.store

/**
 * Calls of one node since its start, keyed by operation and kind, for example `get changes`.
 *
 * @property sent calls that were sent to the platform.
 * @property failed sent calls that failed with `UNAVAILABLE` or `OUTCOME_UNKNOWN`.
 * @property refused calls that the budget rejected without sending them.
 */
public data class PlatformCallCounts(
    val sent: Map<String, Long>,
    val failed: Map<String, Long>,
    val refused: Map<String, Long>
)
