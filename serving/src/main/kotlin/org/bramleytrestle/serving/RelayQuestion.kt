package org.bramleytrestle.serving

import kotlinx.serialization.Serializable

/**
 * Asks a node for changes of the kinds in [versions] after the versions that are known already.
 *
 * @property failed backend servers that the asking node found to have failed.
 * @property loads loads that model servers reported to the asking node.
 */
@Serializable
internal data class RelayQuestion(
    val versions: Map<String, Long>,
    val failed: List<FailedServer> = emptyList(),
    val loads: List<LoadSample> = emptyList()
)
