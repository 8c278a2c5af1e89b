package org.bramleytrestle.serving

/**
 * A group of interchangeable servers.
 *
 * @property maxConnections connections that one server accepts from all nodes together.
 * @property model how its model servers compute; null for a plain service.
 */
public data class BackendService(
    val name: String,
    val maxConnections: Int,
    val model: ModelProfile? = null
)
