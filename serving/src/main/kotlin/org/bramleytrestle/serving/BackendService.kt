package org.bramleytrestle.serving

/**
 * A group of interchangeable servers.
 *
 * @property model how its model servers compute; null for a plain service.
 */
public data class BackendService(val name: String, val model: ModelProfile? = null)
