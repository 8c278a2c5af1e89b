package org.bramleytrestle.settings

import kotlinx.serialization.Serializable
import org.bramleytrestle.model.Side

/**
 * A group of backend servers. Instances state the name of their pool in a label.
 *
 * @property checksFencing whether the engines reject orders with a stale fencing number.
 */
@Serializable
public data class PoolSettings(
    val kind: PoolKind,
    val side: Side,
    val model: String? = null,
    val service: String? = null,
    val checksFencing: Boolean = false
)
