package org.bramleytrestle.serving

import kotlinx.serialization.Serializable

/**
 * A store object as nodes pass it to each other.
 *
 * @property value the object's value as JSON text; null if the object was removed.
 */
@Serializable
internal data class RelayedItem(val name: String, val version: Long, val value: String?)
