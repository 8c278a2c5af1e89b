package org.bramleytrestle.serving

import kotlinx.serialization.Serializable

/** Asks a node for changes of the kinds in [versions] after the versions that are known already. */
@Serializable
internal data class RelayQuestion(val versions: Map<String, Long>)
