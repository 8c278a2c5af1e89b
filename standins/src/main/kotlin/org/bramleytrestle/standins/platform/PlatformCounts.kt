package org.bramleytrestle.standins.platform

import kotlinx.serialization.Serializable

/**
 * Calls that reached the stand-in, refused ones included.
 *
 * @property byOperation calls by operation, such as `get`; an open watch counts once.
 * @property byKind calls by operation and kind, such as `get changes`.
 * @property bySecond calls by second since the epoch and operation, for the newest ten minutes.
 */
@Serializable
public data class PlatformCounts(
    val byOperation: Map<String, Long>,
    val byKind: Map<String, Long>,
    val bySecond: Map<Long, Map<String, Long>>,
    val openWatches: Int
)
