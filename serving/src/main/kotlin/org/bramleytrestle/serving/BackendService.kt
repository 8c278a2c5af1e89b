package org.bramleytrestle.serving

/**
 * A group of interchangeable servers.
 *
 * @property model profile of the model that its servers run; null for a service without a model.
 */
public data class BackendService(val name: String, val model: ModelProfile? = null)
