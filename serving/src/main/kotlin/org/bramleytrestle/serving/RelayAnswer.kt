package org.bramleytrestle.serving

import kotlinx.serialization.Serializable

/**
 * Answer to a [RelayQuestion].
 *
 * @property failed backend servers that several nodes found to have failed.
 * @property loads newest loads that model servers reported to any node.
 */
@Serializable
internal data class RelayAnswer(
    val kinds: List<RelayedKind>,
    val failed: List<FailedServer> = emptyList(),
    val loads: List<LoadSample> = emptyList()
)
