package org.bramleytrestle.settings

import kotlinx.serialization.Serializable
import org.bramleytrestle.model.Side

/**
 * A group of backend servers that instances name by label.
 *
 * @property checksFencing whether its engines refuse orders with an old fencing number.
 */
@Serializable
public data class PoolSettings(
    val kind: PoolKind,
    val side: Side,
    val model: String? = null,
    val service: String? = null,
    val checksFencing: Boolean = false
)
