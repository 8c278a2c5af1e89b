package org.bramleytrestle.serving

/**
 * A change of one server's entry in the store.
 *
 * @property server null if the entry was removed or is unreadable.
 */
public data class FleetChange(
    val name: String,
    val revision: Long,
    val server: BackendServer?,
    val removed: Boolean = false
)
