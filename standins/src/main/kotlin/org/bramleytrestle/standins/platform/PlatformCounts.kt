package org.bramleytrestle.standins.platform

import kotlinx.serialization.Serializable

/**
 * Counts of the calls that the stand-in platform received, including refused ones.
 *
 * @property byOperation calls by operation, such as `get`; a watch counts as one call.
 * @property byKind calls by operation and kind, such as `get changes`.
 * @property bySecond calls by epoch second and operation, for the last ten minutes.
 */
@Serializable
public data class PlatformCounts(
    val byOperation: Map<String, Long>,
    val byKind: Map<String, Long>,
    val bySecond: Map<Long, Map<String, Long>>,
    val openWatches: Int
)
